"""Framing: decoding of arbitrarily split streams, and the order of short and long frames."""

from hallhitch.messages.frames import HEADER_BYTES, MAX_CHUNK_BYTES, FrameQueue, FrameReader, OutgoingFrame

LONG = bytes(20 * MAX_CHUNK_BYTES)


def test_frames_are_decoded_unchanged_from_an_arbitrarily_split_stream() -> None:
    queue, reader, stream, received = FrameQueue(), FrameReader(), b"", []
    for data in (LONG, b"a", b"b", LONG + b"end"):
        queue.put(OutgoingFrame(data))
    while (chunk := queue.next()) is not None:
        assert len(chunk.data) <= HEADER_BYTES + MAX_CHUNK_BYTES
        stream += chunk.data
    for start in range(0, len(stream), 1009):
        received += reader.feed(stream[start : start + 1009])
    assert [(frame.data, frame.is_chunked) for frame in received] == [
        (b"a", False),
        (b"b", False),
        (LONG, True),
        (LONG + b"end", True),
    ]


def test_short_frames_and_chunks_of_long_frames_alternate_by_bytes() -> None:
    queue = FrameQueue()
    queue.put(OutgoingFrame(LONG))
    for _ in range(40):
        queue.put(OutgoingFrame(bytes(MAX_CHUNK_BYTES // 8)))
    chunks = [queue.next() for _ in range(20)]
    positions_of_long = [
        position for position, chunk in enumerate(chunks) if chunk is not None and chunk.data[0] & 0x80
    ]
    assert positions_of_long == [8, 17]
