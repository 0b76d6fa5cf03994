"""Retries, redirects, conclusive responses and records of the emulated operator."""

from __future__ import annotations

from hallhitch.lab.emulator.emulated_operator import EmulatedOperator
from hallhitch.lab.emulator.ports import reserve_ports
from hallhitch.lab.emulator.records import Records
from hallhitch.lab.http_messages import encode_response
from hallhitch.lab.streams import Streams
from tests.system.emulator.emulated_parties import SCRIPTED_HOST, run_with_timeout, start_scripted_server


def test_operator_retries_until_there_is_a_conclusive_response() -> None:
    async def body() -> None:
        base_port, reservation = reserve_ports()
        records, calls = Records(), list[str]()
        redirect = f"Location: http://{SCRIPTED_HOST}:{base_port}/moved?call=x\r\n"
        responses = [encode_response(503), encode_response(307, extra=redirect), encode_response(400)]

        def coordinator(status_line: str, headers: dict[str, str], body: bytes) -> bytes:
            calls.append(status_line)
            if status_line.startswith("POST /moved"):
                return encode_response(200, b'{"configVersion":3}')
            return responses[min(2, len(calls) - 1)]

        server = await start_scripted_server(base_port, coordinator)
        operator = EmulatedOperator(records, lambda: [(SCRIPTED_HOST, base_port)], Streams(1).of("operator"))
        assert (await operator.replace_config({"configVersion": 3})).acknowledged_at_ms is not None
        assert (await operator.replace_config({"configVersion": 4})).status == 400
        recorded = [(operation.version, operation.acknowledged_at_ms is None) for operation in records.operations]
        assert recorded == [(3, False), (4, True)]
        assert calls[0] == "POST /hallhitch/rpc?call=config.replace HTTP/1.1" and len(calls) == 4
        assert (await operator.read_config_if_answered(1000.0)).config is None and records.config_reads == []
        assert (await operator.read_config()).config is None and len(records.config_reads) == 1
        server.close()
        reservation.close()

    run_with_timeout(body)
