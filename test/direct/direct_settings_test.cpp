#include "figreach/direct/direct_settings.h"

#include <fstream>
#include <iterator>

#include "../property.h"

using namespace figreach;
using namespace figreach::direct;

namespace {

constexpr auto valid = "name = \"h1\"\n"
                       "failure_domain = \"hill\"\n"
                       "caller_address = \"127.0.0.1:1\"\n"
                       "admin_address = \"127.0.0.1:2\"\n"
                       "peer_address = \"127.0.0.1:3\"\n"
                       "store_address = \"127.0.0.1:4\"\n";

struct fault_row {
    const char* more;
    const char* fault; ///< empty if none is expected
};

const fault_row fault_rows[] = {
    {"", ""},
    {"stop_limit_s = 2.5", ""},
    {"repeat_share = 0.2", ""},
    {"processor_share = 0.2", ""},
    {"processor_share = 0",
     "f:7: processor_share: found 0; allowed: a number from 0.001 to 1024\n"},
    {"stop_limit_s = \"6\"",
     "f:7: stop_limit_s: found '6'; allowed: a number from 0.001 to 3600\n"},
    {"released_requests = [\"0123456789abcdef0123456789abcdef\"]", ""},
    {"released_requests = [\"0123\"]",
     "f:7: released_requests: found '0123'; allowed: digests of 32 hexadecimal digits\n"},
    {"repeat_share = 1.5", "f:7: repeat_share: found 1.5; allowed: a number from 0 to 1\n"},
    {"repeat_allowance = -1",
     "f:7: repeat_allowance: found -1; allowed: a number from 0 to 1e+06\n"},
    {"revocation_limit_s = 5\nquota_window_s = 5\nquota_excess = 0.1\nquota_slack = 20", ""},
    {"revocation_limit_s = 0.25",
     "f:7: revocation_limit_s: found 0.25; allowed: a number from 0.5 to 3600\n"},
    {"quota_excess = -0.5", "f:7: quota_excess: found -0.5; allowed: a number from 0 to 1\n"},
    {"log_level = \"loud\"",
     "f:7: log_level: found 'loud'; allowed: debug | info | warn | error | off\n"},
};

} // namespace

TEST_GROUP(direct_settings_test){};

TEST(direct_settings_test, names_each_fault)
{
    for (const auto& row : fault_rows) {
        const auto parsed = parse_direct_settings(std::string{valid} + row.more + "\n", "f");
        STRCMP_EQUAL_TEXT(row.fault, to_text(parsed.faults).c_str(), row.more);
    }
    CHECK_FALSE(parse_direct_settings("", "f").faults.empty());
    CHECK_FALSE(parse_direct_settings("name = ", "f").faults.empty());
}

TEST(direct_settings_test, reads_times_in_seconds)
{
    const auto parsed = parse_direct_settings(std::string{valid} + "leaving_limit_s = 2.5\n", "f");
    CHECK_EQUAL(2500, parsed.value.leaving_limit.count());
}

/// A limit that is assumed where none is set would refuse requests of deployments without it.
TEST(direct_settings_test, revocation_has_a_limit_only_where_one_is_set)
{
    CHECK_FALSE(parse_direct_settings(valid, "f").value.revocation_limit.has_value());
    const auto parsed = parse_direct_settings(std::string{valid} + "revocation_limit_s = 5\n", "f");
    CHECK_EQUAL(5000, parsed.value.revocation_limit.value().count());
}

/// Bounds of the platform may be whole numbers or fractions.
TEST(direct_settings_test, the_template_names_known_settings_only)
{
    std::ifstream in{FIGREACH_SOURCE_DIR "/platform/settings.toml"};
    const std::string text{std::istreambuf_iterator<char>{in}, {}};
    for (const std::string number : {"1", "0.75"}) {
        std::string filled;
        for (std::size_t at = 0; at < text.size();) {
            const auto open = text.find("{{", at);
            filled += text.substr(at, open - at);
            if (open == std::string::npos) {
                break;
            }
            const auto close = text.find("}}", open);
            const auto field = text.substr(open + 2, close - open - 2);
            at = close + 2;
            if (field.starts_with('#') || field.starts_with('/')) {
                continue; // a section, filled in as for a value that is present
            }
            const bool address = field.starts_with("listen") || field.starts_with("provider");
            const bool is_bound = field.starts_with("bounds");
            filled += address         ? "127.0.0.1:1"
                      : field == "ip" ? "127.0.0.1"
                      : is_bound      ? number
                                      : "1";
        }
        const auto parsed = parse_direct_settings(filled, "f");
        STRCMP_EQUAL_TEXT("", to_text(parsed.faults).c_str(), number.c_str());
    }
}
