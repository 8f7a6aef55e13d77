"""MessagePack encoder and decoders for the store's structures."""

from __future__ import annotations

import msgspec

from basaltpoint.store import messages

_encoder = msgspec.msgpack.Encoder()
encode = _encoder.encode
_membership_decoder = msgspec.msgpack.Decoder(messages.Membership)
decode_membership = _membership_decoder.decode
decode_message = msgspec.msgpack.Decoder(messages.AnyMessage).decode
