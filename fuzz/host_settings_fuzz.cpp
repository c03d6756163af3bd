#include "figreach/host_settings.h"
#include "target.h"

using namespace figreach;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    const auto parsed = parse_host_settings(as_text(data, size), "f");
    const bool complete = !parsed.value.name.empty() && !parsed.value.operator_address.empty();
    require(!parsed.faults.empty() || complete, "settings without faults are complete");
    return 0;
}
