"""Fuzz test with schemathesis: whatever is sent, the program responds as its OpenAPI document says."""

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
EXAMPLES = int(os.environ.get("HALLHITCH_FUZZ_EXAMPLES", "12"))  # generated calls per operation
logging.getLogger("urllib3").setLevel(logging.ERROR)


class DescribedOperations(AdministrationCase):
    """Generated calls to every operation of the OpenAPI document."""

    async def test_every_operation_conforms_to_the_openapi_description(self) -> None:
        """Guards against requests that make the program fail, and responses that differ from the OpenAPI document."""
        await create_tenants(self.root, "acme")
        document = (await self.root.get("/openapi.json")).json()
        tested = await asyncio.to_thread(self._fuzz, document)
        self.assertEqual(len(tested), sum(len(methods) for methods in document["paths"].values()))
        self.assertEqual((await self.root.get("/v1/status")).status_code, 200)

    def _fuzz(self, document: dict[str, Any]) -> set[str]:
        schema = schemathesis.openapi.from_dict(document)
        tested = set()
        headers = {"Authorization": f"Bearer {self.service.token}"}
        for result in schema.get_all_operations():
            operation = result.ok()  # type: ignore[union-attr]

            @hypothesis.settings(
                max_examples=EXAMPLES,
                deadline=None,
                derandomize=True,
                database=None,
                suppress_health_check=list(hypothesis.HealthCheck),
            )
            @hypothesis.given(case=operation.as_strategy())
            def check_case(case: Any) -> None:
                response = case.call(
                    base_url=self.service.url, headers=headers, verify=str(self.service.folder / "tls" / "ca.crt")
                )
                case.validate_response(response, checks=CHECKS)

            with self.subTest(operation=operation.label):
                check_case()
            tested.add(operation.label)
        return tested
