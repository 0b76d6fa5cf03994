"""The description held against the program by schemathesis: answers as described, whatever is sent."""

from __future__ import annotations

import asyncio
import logging
import os
from typing import Any

import hypothesis
import schemathesis
from schemathesis.checks import not_a_server_error
from schemathesis.specs.openapi.checks import (
    content_type_conformance,
    response_schema_conformance,
    status_code_conformance,
)

from tests.administration_process import AdministrationCase, create_tenants

CHECKS = [not_a_server_error, status_code_conformance, content_type_conformance, response_schema_conformance]
EXAMPLES = int(os.environ.get("HALLHITCH_FUZZ_EXAMPLES", "12"))  # for each operation
logging.getLogger("urllib3").setLevel(logging.ERROR)


class DescribedOperations(AdministrationCase):
    """Generated calls."""

    async def test_every_operation_conforms_to_the_openapi_description(self) -> None:
        """Guards against a body that makes the program fail, and a description that promises something else."""
        await create_tenants(self.root, "acme")
        described = (await self.root.get("/openapi.json")).json()
        tried = await asyncio.to_thread(self._fuzz, described)
        self.assertEqual(len(tried), sum(len(methods) for methods in described["paths"].values()))
        self.assertEqual((await self.root.get("/v1/status")).status_code, 200)

    def _fuzz(self, described: dict[str, Any]) -> set[str]:
        schema = schemathesis.openapi.from_dict(described)
        tried = set()
        headers = {"Authorization": f"Bearer {self.service.token}"}
        for found in schema.get_all_operations():
            operation = found.ok()  # type: ignore[union-attr]

            @hypothesis.settings(
                max_examples=EXAMPLES,
                deadline=None,
                derandomize=True,
                database=None,
                suppress_health_check=list(hypothesis.HealthCheck),
            )
            @hypothesis.given(case=operation.as_strategy())
            def one(case: Any) -> None:
                answer = case.call(
                    base_url=self.service.url, headers=headers, verify=str(self.service.folder / "tls" / "ca.crt")
                )
                case.validate_response(answer, checks=CHECKS)

            with self.subTest(operation=operation.label):
                one()
            tried.add(operation.label)
        return tried
