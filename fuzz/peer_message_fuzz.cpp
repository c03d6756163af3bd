#include "figreach/peer_codec.h"
#include "target.h"

using namespace figreach;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    const auto decoded = decode_peer_message(as_text(data, size));
    if (decoded) {
        const auto again = decode_peer_message(encode(*decoded));
        require(again.has_value(), "what was decoded can be encoded and decoded");
        require(encode(*again) == encode(*decoded), "encoding loses nothing");
    }
    return 0;
}
