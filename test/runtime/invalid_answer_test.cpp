// Servers and hosts whose answers are invalid.

#include "raw_answers.h"

#include "figreach/grant_codec.h"
#include "figreach/runtime/grant_client.h"
#include "property.h"

using namespace figreach;

namespace {

const std::string order = "POST /a HTTP/1.1\r\nHost: x\r\nX-Figreach-Service: s\r\n"
                          "X-Figreach-Key: k\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";

/// Sends an order to a server, and through another host, that answers with these bytes.
std::vector<std::string> send_orders(const raw_answer& row)
{
    std::vector<std::string> out;
    for (const bool is_server : {true, false}) {
        raw_server upstream{row.text};
        {
            plane_fixture host{is_server ? upstream.address() : "127.0.0.1:1",
                               is_server ? std::string{} : upstream.address()};
            out.push_back(host.ask(order));
        }
        CHECK_EQUAL_TEXT(1, upstream.requests(), row.name.c_str());
    }
    return out;
}

void check_unknown(const raw_answer& row, const std::string& response)
{
    const auto text = row.name + ": " + response;
    CHECK_TRUE_TEXT(response.starts_with("HTTP/1.1 502"), text.c_str());
    CHECK_TRUE_TEXT(response.find("outcome_unknown") != std::string::npos, text.c_str());
}

void check_orders(const std::vector<raw_answer>& rows)
{
    for (const auto& row : rows) {
        for (const auto& response : send_orders(row)) {
            check_unknown(row, response);
        }
    }
}

/// As check_orders(), for tables of many rows: one host serves all of them.
void check_many_orders(const std::vector<raw_answer>& rows)
{
    for (const bool is_server : {true, false}) {
        raw_server upstream;
        plane_fixture host{is_server ? upstream.address() : "127.0.0.1:1",
                           is_server ? std::string{} : upstream.address()};
        int sent = 0;
        for (const auto& row : rows) {
            upstream.set_answer(row.text);
            check_unknown(row, host.ask(order));
            ++sent;
            CHECK_EQUAL_TEXT(sent, upstream.requests(), row.name.c_str());
        }
    }
}

/// Sends a grant to a server that answers with these bytes.
server_answered send_grant(const raw_answer& row)
{
    raw_server server{row.text};
    ring<control_event> inbox{1, [] {}};
    grant_client client{inbox};
    (void)client.call({.server = {"b"},
                       .address = server.address(),
                       .request = {.coordinator = {"h1"}, .sequence = 1, .term = 1},
                       .timeout = seconds{20}});
    std::optional<control_event> event;
    wait_for([&] { return (event = inbox.pop()).has_value(); });
    return std::get<server_answered>(event.value());
}

const std::string grant_body = to_json(grant_answer{.accepted = true, .sequence = 1, .term = 1});

void check_grants(const std::vector<raw_answer>& rows)
{
    for (const auto& row : rows) {
        CHECK_FALSE_TEXT(send_grant(row).answer.has_value(), row.name.c_str());
    }
}

} // namespace

TEST_GROUP(invalid_answer_test){};

/// Guards against passing on a response whose status is invalid.
TEST(invalid_answer_test, an_order_answered_with_an_invalid_status_has_an_unknown_outcome)
{
    check_orders(answers_of_invalid_status({}));
}

TEST(invalid_answer_test, a_grant_answered_with_an_invalid_status_has_no_answer)
{
    check_grants(answers_of_invalid_status({}, grant_body));
}

TEST(invalid_answer_test, an_interim_response_without_a_final_one_is_no_answer)
{
    check_orders(answers_without_final_one({}));
    check_grants(answers_without_final_one({}, grant_body));
}

TEST(invalid_answer_test, the_final_response_behind_interim_ones_is_the_answer)
{
    const std::string line = "HTTP/1.1 200 OK";
    for (const auto& row : interim_responses({})) {
        for (const auto& response :
             send_orders({row.name, row.text + whole_answer(line, {}, "plan")})) {
            const auto text = row.name + ": " + response;
            CHECK_TRUE_TEXT(response.starts_with(line), text.c_str());
            CHECK_TRUE_TEXT(response.ends_with("\r\n\r\nplan"), text.c_str());
        }
        const auto granted = send_grant({row.name, row.text + whole_answer(line, {}, grant_body)});
        CHECK_TRUE_TEXT(granted.answer && granted.answer->accepted, row.name.c_str());
    }
}

/// Guards against passing on a malformed line, or a body whose length it hides.
TEST(invalid_answer_test, an_order_answered_with_malformed_fields_has_an_unknown_outcome)
{
    check_orders(answers_with_invalid_fields({}));
    check_orders(answers_with_byte_in_name(' ', {}));
    check_orders(answers_with_byte_in_name('\v', {}));
    check_many_orders(answers_with_invalid_byte({}));
}

/// An answer in chunks is sent on while it is read: it must not look complete.
TEST(invalid_answer_test, an_answer_with_a_malformed_trailer_is_incomplete)
{
    for (const auto& row : answers_with_invalid_trailer({})) {
        for (const auto& response : send_orders(row)) {
            const auto text = row.name + ": " + response;
            CHECK_TRUE_TEXT(response.find("Transfer-Encoding: chunked") != std::string::npos,
                            text.c_str());
            CHECK_FALSE_TEXT(response.ends_with("0\r\n\r\n"), text.c_str());
        }
    }
}

/// Guards against passing on a body as it was encoded for the connection.
TEST(invalid_answer_test, an_order_answered_in_another_coding_has_an_unknown_outcome)
{
    check_orders(answers_with_other_coding({}));
}

TEST(invalid_answer_test, an_answer_in_chunks_or_without_coding_is_passed_on)
{
    for (const auto& row : answers_in_known_coding({})) {
        for (const auto& response : send_orders(row)) {
            const auto text = row.name + ": " + response;
            CHECK_TRUE_TEXT(response.starts_with("HTTP/1.1 200"), text.c_str());
            CHECK_TRUE_TEXT(response.ends_with("4\r\nplan\r\n0\r\n\r\n"), text.c_str());
        }
    }
}
