#include "figreach/direct/server_allowance.h"

#include "../property.h"

using namespace figreach;
using namespace figreach::direct;

namespace {

struct allowance_row {
    std::uint32_t max_servers;
    std::vector<const char*> sent_to; ///< empty text: another host did not say to which
    bool allows_another;
    bool allows_a; ///< the request may be sent to server a
};

const allowance_row allowance_rows[] = {
    {0, {}, false, false},
    {1, {}, true, true},
    {1, {"a"}, false, true},
    {1, {"a", "a", "a"}, false, true},
    {1, {"b"}, false, false},
    {1, {""}, false, false},
    {1, {"a", ""}, false, false},
    {2, {"a"}, true, true},
    {2, {"b"}, true, true},
    {2, {"a", "b"}, false, true},
    {2, {"b", "c"}, false, false},
    {2, {"a", ""}, false, true},
    {2, {"b", ""}, false, false},
    {3, {"b", "c"}, true, true},
    {3, {"b", "c", "d"}, false, false},
    {10, {"b", "c", "d", ""}, true, true},
    {4'294'967'295, {"b", "c", "d", ""}, true, true},
};

} // namespace

TEST_GROUP(server_allowance_test){};

/// Guards against sending a client attempt to more backend servers than its route allows (BUDGET).
TEST(server_allowance_test, a_repeat_at_the_same_server_does_not_count)
{
    for (const auto& row : allowance_rows) {
        server_allowance allowance{row.max_servers};
        std::string name = std::to_string(row.max_servers) + ":";
        for (const std::string id : row.sent_to) {
            name += " " + id;
            if (id.empty()) {
                allowance.record_unknown();
            }
            else {
                allowance.record({id});
            }
        }
        CHECK_EQUAL_TEXT(row.allows_another, allowance.allows_another(), name.c_str());
        CHECK_EQUAL_TEXT(row.allows_a, allowance.allows({"a"}), name.c_str());
    }
}
