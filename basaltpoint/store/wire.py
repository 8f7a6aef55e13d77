"""MessagePack for the store's structures: one encoder, and a decoder for each kind."""

from __future__ import annotations

import msgspec

from basaltpoint.store import messages

_encoder = msgspec.msgpack.Encoder()
encode = _encoder.encode
_members = msgspec.msgpack.Decoder(messages.Members)
decode_members = _members.decode
decode_message = msgspec.msgpack.Decoder(messages.Any).decode
