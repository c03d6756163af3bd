// Refusals that are decided after an earlier send of the same request.

#include "path_fixture.h"

using namespace figreach;
using namespace figreach::direct;

namespace {

const std::string key_of_alpha = "Authorization: Bearer a1\r\n";

void set_key(route_configuration& all, const char* key)
{
    all.tenants = {{.name = {"alpha"}, .keys = {digest_of_key(key)}}};
}

} // namespace

TEST_GROUP(late_refusal_test){};

/// Guards against telling a caller that a request has not run when the first send of it was lost,
/// because its API key was revoked before the second one.
TEST(late_refusal_test, a_key_that_is_revoked_between_two_sends_leaves_open_whether_the_first_ran)
{
    path_fixture* host = nullptr;
    std::atomic<std::size_t> arrivals{0};
    fake_upstream server{[&](tcp::socket& socket) {
        if (!read_request(socket)) {
            return;
        }
        ++arrivals;
        host->change_configuration([](auto& all) { set_key(all, "a2"); });
    }};
    path_fixture own{server.address()};
    host = &own;
    own.change_configuration([](auto& all) { set_key(all, "a1"); });
    const auto response = own.exchange(request("GET /read/1", key_of_alpha));
    CHECK_EQUAL(1, arrivals.load());
    STRNCMP_EQUAL("HTTP/1.1 502", response.c_str(), 12);
    STRCMP_CONTAINS(R"("ran":"unknown")", response.c_str());
}
