#ifndef EELGRASSTRACK_PEER_CODEC_H_
#define EELGRASSTRACK_PEER_CODEC_H_

#include "peer/messages.h"

namespace eelgrasstrack {

/// Encodes a message as one frame: a JSON array whose first item is the code of
/// the message kind and whose other items are the fields in order. In a
/// `body_message`, a line feed and the raw bytes follow the array. Positions
/// instead of field names keep frames short.
std::string
EncodeMessage(const peer_message& aMessage);

/// Decodes one frame. Fails with `invalid_argument` if it is not a complete
/// message.
result<peer_message>
DecodeMessage(std::string_view aFrame);

} // namespace eelgrasstrack

#endif // EELGRASSTRACK_PEER_CODEC_H_
