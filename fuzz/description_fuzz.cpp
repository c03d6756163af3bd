#include "figreach/description_diff.h"
#include "figreach/description_edit.h"
#include "figreach/description_parser.h"
#include "target.h"

using namespace figreach;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    const auto text = as_text(data, size);
    const auto parsed = parse_description(text, "f");
    require(parsed.faults.empty() == to_text(parsed.faults).empty(), "each fault has a text");
    if (!parsed.faults.empty()) {
        return 0;
    }
    require(description_diff(parsed.value, parsed.value).empty(), "no difference from itself");
    for (const auto& domain : parsed.value.failure_domains) {
        const auto edited =
            with_state(text, "failure_domain", domain.name.value, service_state::out);
        if (!edited) {
            continue;
        }
        const auto after = parse_description(*edited, "f");
        require(after.faults.empty(), "an edited description stays valid");
        require(description_diff(parsed.value, after.value).size() <= 1,
                "an edit changes one field at most");
    }
    return 0;
}
