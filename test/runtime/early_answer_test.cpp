// Servers that answer an upload before they have read it, and end the connection in different ways.

#include "early_answer.h"

#include "property.h"

using namespace figreach;

namespace {

const std::string upload = "POST /a HTTP/1.1\r\nHost: x\r\nX-Figreach-Service: s\r\n"
                           "X-Figreach-Key: k\r\nConnection: close\r\nContent-Length: " +
                           std::to_string(long_upload_bytes) + "\r\n\r\n" +
                           std::string(long_upload_bytes, 'u');

struct upstream_row {
    const char* name;
    bool is_server; ///< else the upstream is the host that coordinates the server
};

const upstream_row upstream_rows[] = {{"server", true}, {"host", false}};

/// Whether a response says that it has ended and contains the body of the answer.
bool is_complete(const std::string& response)
{
    const bool chunked = response.find("Transfer-Encoding: chunked") != std::string::npos;
    return response.ends_with(chunked ? "\r\n0\r\n\r\n" : "\r\n\r\nplan") &&
           response.find("plan") != std::string::npos;
}

} // namespace

TEST_GROUP(early_answer_test){};

/// Guards against a part of an answer that is streamed to the caller as a whole one.
TEST(early_answer_test, an_upload_gets_the_whole_answer_or_an_unknown_outcome)
{
    for (const auto& row : early_answers({})) {
        for (const auto& place : upstream_rows) {
            std::atomic<int> connections{0};
            fake_upstream upstream{[&](tcp::socket& socket) {
                ++connections;
                send_early(socket, row);
            }};
            plane_fixture host{place.is_server ? upstream.address() : "127.0.0.1:1",
                               place.is_server ? std::string{} : upstream.address()};
            const auto got = host.ask(upload);
            const auto text = std::string{row.name} + ", " + place.name + ": " + got.substr(0, 400);
            const bool truthful = row.complete
                                      ? got.starts_with("HTTP/1.1 200") && is_complete(got)
                                      : got.starts_with("HTTP/1.1 502") || !is_complete(got);
            CHECK_TRUE_TEXT(truthful, text.c_str());
            CHECK_EQUAL_TEXT(1, connections, text.c_str());
        }
    }
}
