#ifndef EELGRASSTRACK_PEER_CODEC_H_
#define EELGRASSTRACK_PEER_CODEC_H_

#include "peer/messages.h"

namespace eelgrasstrack {

/// Frame format: one JSON array whose first item is the kind's short name and
/// whose other items are the fields in order; for bodies, a line feed and the
/// raw bytes follow. Positions in place of field names keep frames short.
std::string
EncodeMessage(const peer_message& aMessage);

/// Fails with `invalid_argument` on anything that is not a whole message.
result<peer_message>
DecodeMessage(std::string_view aFrame);

} // namespace eelgrasstrack

#endif // EELGRASSTRACK_PEER_CODEC_H_
