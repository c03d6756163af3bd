// Servers, hosts and stores whose answers are invalid.

#include "../runtime/raw_answers.h"

#include "figreach/direct/runtime/order_client.h"
#include "path_fixture.h"

using namespace figreach;
using namespace figreach::direct;

namespace {

const std::string fields = own_id + signature;
const std::string order_of_h2 = request("POST /order/1", from_h2 + "Content-Length: 0\r\n");

/// Checks that an order has an unknown outcome, is not sent again and that its connection is reset.
/// `sent` counts the orders of the server so far.
void check_unknown(const raw_answer& row, const std::string& response, const raw_server& server,
                   int sent = 1)
{
    const auto text = row.name + ": " + response;
    STRNCMP_EQUAL_TEXT("HTTP/1.1 502", response.c_str(), 12, text.c_str());
    CHECK_TRUE_TEXT(response.find(R"("ran":"unknown")") != std::string::npos, text.c_str());
    CHECK_EQUAL_TEXT(sent, server.requests(), text.c_str());
    wait_for([&] { return server.resets() == sent; });
    CHECK_EQUAL_TEXT(sent, server.resets(), text.c_str());
}

/// Sends orders of callers and of other hosts, also through another host, and checks that their
/// outcome is unknown.
void check_orders(const std::vector<raw_answer>& rows)
{
    for (const auto& row : rows) {
        {
            raw_server server{row.text};
            path_fixture host{server.address()};
            check_unknown(row, host.exchange(order_one), server);
        }
        {
            raw_server server{row.text};
            path_fixture host{server.address()};
            check_unknown(row, host.exchange_as_peer(order_of_h2), server);
        }
        raw_server peer{row.text};
        const fixture_host own{.name = {"h1"}, .peer_address = local_address(free_port())};
        const fixture_host other{.name = {"h2"}, .peer_address = peer.address()};
        path_fixture host{local_address(free_port()), own, {own, other}};
        host.lose_server_path();
        check_unknown(row, host.exchange(order_one), peer);
    }
}

/// As check_orders() without other hosts, for tables of many rows: one host serves all of them.
void check_many_orders(const std::vector<raw_answer>& rows)
{
    raw_server server;
    path_fixture host{server.address()};
    int sent = 0;
    for (const auto& row : rows) {
        server.set_answer(row.text);
        check_unknown(row, host.exchange(order_one), server, ++sent);
        check_unknown(row, host.exchange_as_peer(order_of_h2), server, ++sent);
    }
}

/// The results of one call on a pooled connection and of one order.
std::vector<http_result> call(const std::string& text)
{
    raw_server server{text};
    raw_server order_server{text};
    asio::io_context io;
    http_client client{io};
    process_continuity processes;
    order_client orders{io, processes};
    const auto post = make_request(boost::beast::http::verb::post, "/grant", "keys");
    std::vector<http_result> out;
    const auto call_both = [&]() -> asio::awaitable<void> {
        const auto until = monotonic_time::clock::now() + seconds{20};
        out.push_back(co_await client.call(server.address(), post, until));
        out.push_back(co_await orders.call(order_server.address(), post, until,
                                           [] { return monotonic_time::max(); }));
    };
    asio::co_spawn(io, call_both, asio::detached);
    io.run();
    return out;
}

void check_calls(const std::vector<raw_answer>& rows)
{
    for (const auto& row : rows) {
        const auto results = call(row.text);
        CHECK_EQUAL_TEXT(2, results.size(), row.name.c_str());
        for (const auto& result : results) {
            const auto* failure = std::get_if<call_failure>(&result);
            CHECK_TRUE_TEXT(failure != nullptr && *failure == call_failure::no_answer,
                            row.name.c_str());
        }
    }
}

} // namespace

TEST_GROUP(invalid_answer_test){};

/// Guards against passing on a response whose status is invalid.
TEST(invalid_answer_test, an_order_answered_with_an_invalid_status_has_an_unknown_outcome)
{
    check_orders(answers_of_invalid_status(fields));
    check_calls(answers_of_invalid_status({}));
}

TEST(invalid_answer_test, a_read_answered_with_an_invalid_status_is_sent_again)
{
    for (const auto& row : answers_of_invalid_status(fields)) {
        scripted_server server{{row.text, success("plan")}};
        path_fixture host{server.address()};
        const auto response = host.exchange(read_one);
        STRNCMP_EQUAL_TEXT("HTTP/1.1 200", response.c_str(), 12, row.name.c_str());
        CHECK_EQUAL_TEXT(2, server.requests(), row.name.c_str());
    }
}

TEST(invalid_answer_test, an_interim_response_without_a_final_one_is_no_answer)
{
    check_orders(answers_without_final_one(fields));
    check_calls(answers_without_final_one({}));
}

TEST(invalid_answer_test, the_final_response_behind_interim_ones_is_the_answer)
{
    for (const auto& row : interim_responses(own_id)) {
        scripted_server server{{row.text + success("plan")}};
        path_fixture host{server.address()};
        const auto response = host.exchange(order_one);
        STRNCMP_EQUAL_TEXT("HTTP/1.1 200", response.c_str(), 12, row.name.c_str());
        CHECK_TRUE_TEXT(response.ends_with("\r\n\r\nplan"), row.name.c_str());
        for (const auto& result : call(row.text + answer("200 OK", "", "plan"))) {
            const auto* received = std::get_if<http_response>(&result);
            CHECK_TRUE_TEXT(received != nullptr, row.name.c_str());
            CHECK_EQUAL_TEXT(200, received->result_int(), row.name.c_str());
            STRCMP_EQUAL_TEXT("plan", received->body().c_str(), row.name.c_str());
        }
    }
}

/// Guards against passing on a malformed line, or a body whose length it hides.
TEST(invalid_answer_test, an_order_answered_with_malformed_fields_has_an_unknown_outcome)
{
    check_orders(answers_with_invalid_fields(fields));
    check_orders(answers_with_invalid_trailer(fields));
    check_orders(answers_with_byte_in_name(' ', fields));
    check_orders(answers_with_byte_in_name('\v', fields));
    check_many_orders(answers_with_invalid_byte(fields));
    check_calls(answers_with_invalid_fields({}));
    check_calls(answers_with_invalid_trailer({}));
    check_calls(answers_with_invalid_byte({}));
}

/// Guards against passing on a body as it was encoded for the connection.
TEST(invalid_answer_test, an_order_answered_in_another_coding_has_an_unknown_outcome)
{
    check_orders(answers_with_other_coding(fields));
    check_calls(answers_with_other_coding({}));
}

TEST(invalid_answer_test, an_answer_in_chunks_or_without_coding_is_passed_on)
{
    for (const auto& row : answers_in_known_coding(fields)) {
        raw_server server{row.text};
        path_fixture host{server.address()};
        const auto response = host.exchange(order_one);
        STRNCMP_EQUAL_TEXT("HTTP/1.1 200", response.c_str(), 12, row.name.c_str());
        CHECK_TRUE_TEXT(response.ends_with("\r\n\r\nplan"), row.name.c_str());
    }
}

/// Guards against waiting until the deadline for an answer that cannot come any more.
TEST(invalid_answer_test, an_answer_to_another_request_that_ends_the_connection_is_the_last)
{
    const auto other = "Figreach-Request-Id: 77\r\n" + signature;
    check_orders({
        {"no length", "HTTP/1.1 200 OK\r\n" + other + "\r\nplan"},
        {"HTTP/1.0", "HTTP/1.0 200 OK\r\n" + other + "\r\nplan"},
        {"length", whole_answer("HTTP/1.1 200 OK", other, "plan")},
    });
}
