// Requests that begin while the host stops.

#include "path_fixture.h"

using namespace figreach;
using namespace figreach::direct;

namespace {

struct late_row {
    const char* name;
    const char* line;
    const char* time_limit_ms;
    milliseconds left; ///< until the host cuts off what is under way
    bool runs;
};

const late_row late_rows[] = {
    {"an order that ends before", "POST /order/1", "1000", milliseconds{4000}, true},
    {"an order that may end later", "POST /order/1", "3000", milliseconds{2000}, false},
    // The objective of the route is 1 s.
    {"a read with a long limit", "GET /read/1", "9000", milliseconds{4000}, true},
    {"a read with a short limit", "GET /read/1", "500", milliseconds{1000}, true},
    {"a read shortly before the end", "GET /read/1", "9000", milliseconds{1000}, false},
};

} // namespace

TEST_GROUP(late_request_test){};

/// Guards against requests that a planned stop cuts off without an answer: what may not end in time
/// is refused at once and not run.
TEST(late_request_test, a_request_that_may_outlast_the_host_is_refused_at_once)
{
    for (const auto& row : late_rows) {
        scripted_server server{{success("done")}};
        path_fixture host{server.address()};
        host.start_stopping(row.left);
        const auto limit = std::string{"Figreach-Deadline-Ms: "} + row.time_limit_ms + "\r\n";
        const auto response = host.exchange(request(row.line, limit + "Content-Length: 0\r\n"));
        STRNCMP_EQUAL_TEXT(row.runs ? "HTTP/1.1 200" : "HTTP/1.1 503", response.c_str(), 12,
                           row.name);
        CHECK_TRUE_TEXT(response.find("Connection: close") != std::string::npos, row.name);
        CHECK_EQUAL_TEXT(row.runs ? 1U : 0U, server.requests(), row.name);
    }
}
