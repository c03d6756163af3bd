#include "figreach/grant_codec.h"
#include "target.h"

using namespace figreach;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    const auto text = as_text(data, size);
    if (const auto parsed = parse_grant(text)) {
        const auto again = parse_grant(to_json(*parsed));
        require(again && to_json(*again) == to_json(*parsed), "a grant survives its JSON");
    }
    if (const auto parsed = parse_grant_answer(text)) {
        const auto again = parse_grant_answer(to_json(*parsed));
        require(again && to_json(*again) == to_json(*parsed), "an answer survives its JSON");
    }
    return 0;
}
