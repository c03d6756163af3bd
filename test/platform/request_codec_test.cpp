#include "request_codec.h"

#include "../property.h"

using namespace figreach;
using namespace figreach::platform;
using direct::execution_claim;

namespace http = boost::beast::http;

namespace {

struct caller_row {
    const char* limit;
    const char* key;
    bool malformed;
    std::int64_t limit_ms; ///< negative if absent
    std::int64_t number;   ///< negative if absent
};

const caller_row caller_rows[] = {
    {"2500", "0", false, 2500, 0}, {"2500", "65535", false, 2500, 65535},
    {"", "", false, -1, -1},       {"0", "", false, 0, -1},
    {"x", "", true, 0, -1},        {"-1", "", true, 0, -1},
    {"1.5", "", true, 0, -1},      {"99999999999", "", true, 0, -1},
    {"", "65536", true, -1, -1},   {"", "-1", true, -1, -1},
    {"", "1 2", true, -1, -1},     {"", "0x10", true, -1, -1},
};

struct load_row {
    const char* text;
    bool read;
    std::uint32_t waiting;
    double slowdown;
};

const load_row load_rows[] = {
    {"3,0,8", true, 0, 1.0},    {"3, 5 ,8", true, 5, 1.0}, {"3,5,8,250", true, 5, 2.5},
    {"3,5", false, 0, 1.0},     {"", false, 0, 1.0},       {"a,b,c", false, 0, 1.0},
    {"3,5,8,x", false, 0, 1.0}, {"3,,8", false, 0, 1.0},
};

struct rate_limit_row {
    const char* text;
    double rate;         ///< negative if there is none
    const char* invalid; ///< quoted start of an invalid field
};

const rate_limit_row rate_limit_rows[] = {
    {"6.4", 6.4, ""},
    {" 12 ", 12.0, ""},
    {"0", 0.0, ""},
    {"1000000", 1e6, ""},
    {"", -1.0, "\"\""},
    {"many", -1.0, "\"many\""},
    {"-3", -1.0, "\"-3\""},
    {"nan", -1.0, "\"nan\""},
    {"inf", -1.0, "\"inf\""},
    {"5 per second", -1.0, "\"5 per second\""},
    {"1e3", -1.0, "\"1e3\""},
    {"1000001", -1.0, "\"1000001\""},
    {"99999999999999999999999999999999999999", -1.0, "\"99999999999999999999999999999999\""},
};

struct rest_row {
    unsigned status;
    std::vector<const char*> fields;
    std::int64_t rest_ms; ///< negative if there is none
    const char* invalid;
};

const rest_row rest_rows[] = {
    {503, {"2"}, 2000, ""},
    {429, {"2"}, 2000, ""},
    {503, {" 0.25 "}, 250, ""},
    {503, {"0"}, 0, ""},
    {503, {}, -1, ""},
    {200, {"2"}, -1, ""},
    {421, {"2"}, -1, ""},
    {503, {"1", "3.5", "2"}, 3500, ""},
    {503, {"soon", "1"}, 1000, "\"soon\""},
    {503, {"-1"}, -1, "\"-1\""},
    {503, {""}, -1, "\"\""},
    {503, {"nan"}, -1, "\"nan\""},
    {503, {"inf"}, -1, "\"inf\""},
    {503, {"2 s"}, -1, "\"2 s\""},
    {503, {"1e3"}, -1, "\"1e3\""},
    {503, {"Fri, 31 Dec 1999 23:59:59 GMT"}, -1, "\"Fri, 31 Dec 1999 23:59:59 GMT\""},
    {503, {"99999999999999999999"}, 1'000'000'000, ""},
};

struct leaving_row {
    unsigned status;
    std::vector<const char*> fields;
    bool leaving;
};

const leaving_row leaving_rows[] = {
    {200, {"1"}, true},  {503, {" 1 "}, true}, {421, {"1"}, true},   {500, {"0", "1"}, true},
    {103, {"1"}, true},  {200, {}, false},     {200, {"0"}, false},  {200, {""}, false},
    {200, {"2"}, false}, {200, {"11"}, false}, {200, {"yes"}, false}};

struct answer_row {
    const char* name;
    unsigned status;
    std::vector<std::pair<const char*, const char*>> fields;
    execution_claim claim;
    bool encoded;
};

const std::pair<const char*, const char*> says_not_run{"Figreach-Not-Run", "1"};
const std::pair<const char*, const char*> signed_by_server{"Figreach-Server-Stamp", "3e1b"};

const answer_row answer_rows[] = {
    {"plain", 200, {}, execution_claim::none, false},
    {"signed", 200, {signed_by_server}, execution_claim::none, false},
    {"another server", 421, {}, execution_claim::not_run, false},
    {"another server that says so", 421, {says_not_run}, execution_claim::not_run, false},
    {"421 of a request that ran", 421, {signed_by_server}, execution_claim::unconfirmed, false},
    {"shed", 503, {says_not_run}, execution_claim::not_run, false},
    {"shed by rate", 429, {says_not_run}, execution_claim::not_run, false},
    {"malformed", 400, {says_not_run}, execution_claim::not_run, false},
    {"503", 503, {}, execution_claim::unconfirmed, false},
    {"signed 503", 503, {signed_by_server}, execution_claim::unconfirmed, false},
    {"429", 429, {}, execution_claim::unconfirmed, false},
    {"signed 429", 429, {signed_by_server}, execution_claim::unconfirmed, false},
    {"408", 408, {}, execution_claim::unconfirmed, false},
    {"signed 408", 408, {signed_by_server}, execution_claim::unconfirmed, false},
    {"500", 500, {}, execution_claim::none, false},
    {"502", 502, {}, execution_claim::none, false},
    {"504", 504, {}, execution_claim::none, false},
    {"conflict", 409, {}, execution_claim::none, false},
    {"encoded", 200, {{"Content-Encoding", "gzip"}}, execution_claim::none, true},
    {"plain encoding", 200, {{"Content-Encoding", "identity"}}, execution_claim::none, false},
};

struct refusal_row {
    error_kind kind;
    milliseconds retry_after;
    unsigned status;
    const char* seconds; ///< empty if there is no Retry-After
};

const refusal_row refusal_rows[] = {
    {error_kind::no_owner, milliseconds{400}, 503, "0.400"},
    {error_kind::server_refused, milliseconds{1250}, 503, "1.250"},
    {error_kind::server_unreachable, milliseconds{0}, 503, "0.100"},
    {error_kind::deadline_expired, milliseconds{0}, 503, "0.100"},
    {error_kind::request_suspected, milliseconds{250}, 503, "0.250"},
    {error_kind::request_held, milliseconds{400}, 503, ""},
    {error_kind::outcome_unknown, milliseconds{400}, 502, ""},
    {error_kind::deadline_exceeded, milliseconds{400}, 504, ""},
    {error_kind::unknown_service, milliseconds{0}, 404, ""},
    {error_kind::malformed_request, milliseconds{0}, 400, ""},
};

} // namespace

TEST_GROUP(request_codec_test){};

TEST(request_codec_test, reads_what_a_caller_says)
{
    for (const auto& row : caller_rows) {
        http::fields fields;
        fields.set("Figreach-Request-Id", "9c41");
        if (*row.limit != '\0') {
            fields.set("Figreach-Deadline-Ms", row.limit);
        }
        if (*row.key != '\0') {
            fields.set("Figreach-Shard-Key", row.key);
        }
        const auto head = decode_caller_head(fields);
        STRCMP_EQUAL("9c41", head.request_id.c_str());
        CHECK_EQUAL_TEXT(row.malformed, head.malformed, row.limit);
        CHECK_EQUAL_TEXT(row.limit_ms, head.time_limit ? head.time_limit->count() : -1, row.limit);
        CHECK_EQUAL_TEXT(row.number, head.key ? std::int64_t{*head.key} : -1, row.key);
    }
}

TEST(request_codec_test, reads_load_reports)
{
    for (const auto& row : load_rows) {
        http::fields fields;
        fields.set("Figreach-Server-Load", row.text);
        const auto head = decode_answer_head(200, fields);
        CHECK_EQUAL_TEXT(row.read, head.load.has_value(), row.text);
        if (head.load) {
            CHECK_EQUAL_TEXT(row.waiting, head.load->waiting, row.text);
            DOUBLES_EQUAL(row.slowdown, head.load->slowdown, 0.001);
        }
    }
}

TEST(request_codec_test, reads_rate_limits_and_reports_invalid_ones)
{
    CHECK_FALSE(decode_answer_head(200, http::fields{}).rate_limit.has_value());
    for (const auto& row : rate_limit_rows) {
        http::fields fields;
        fields.set("Server-Limit", row.text);
        const auto head = decode_answer_head(200, fields);
        DOUBLES_EQUAL_TEXT(row.rate, head.rate_limit.value_or(-1.0), 0.001, row.text);
        STRCMP_EQUAL_TEXT(row.invalid, head.invalid_rate_limit.c_str(), row.text);
    }
}

TEST(request_codec_test, reads_how_long_a_server_wants_no_request)
{
    for (const auto& row : rest_rows) {
        http::fields fields;
        for (const auto* text : row.fields) {
            fields.insert(http::field::retry_after, text);
        }
        const auto head = decode_answer_head(row.status, fields);
        const auto* name = row.fields.empty() ? "none" : row.fields.front();
        CHECK_EQUAL_TEXT(row.rest_ms, head.rest ? head.rest->count() : -1, name);
        STRCMP_EQUAL_TEXT(row.invalid, head.invalid_rest.c_str(), name);
    }
}

TEST(request_codec_test, reads_whether_a_server_is_leaving)
{
    for (const auto& row : leaving_rows) {
        http::fields fields;
        for (const auto* text : row.fields) {
            fields.insert("Server-Leaving", text);
        }
        const auto* name = row.fields.empty() ? "none" : row.fields.front();
        CHECK_EQUAL_TEXT(row.leaving, decode_answer_head(row.status, fields).leaving, name);
    }
}

TEST(request_codec_test, tells_what_did_not_run)
{
    for (const auto& row : answer_rows) {
        http::fields fields;
        for (const auto& [field, value] : row.fields) {
            fields.set(field, value);
        }
        const auto head = decode_answer_head(row.status, fields);
        CHECK_TRUE_TEXT(row.claim == head.claim, row.name);
        CHECK_EQUAL_TEXT(row.encoded, head.encoded, row.name);
    }
}

TEST(request_codec_test, reads_when_a_server_closes_idle_connections)
{
    const std::pair<const char*, std::int64_t> rows[] = {
        {"timeout=10", 10000}, {"timeout=5, max=100", 5000}, {"max=100", -1}, {"timeout=x", -1}};
    for (const auto& [text, time] : rows) {
        http::fields fields;
        fields.set(http::field::keep_alive, text);
        const auto idle = decode_answer_head(200, fields).idle_time;
        CHECK_EQUAL_TEXT(time, idle ? idle->count() : -1, text);
    }
}

TEST(request_codec_test, a_refusal_promises_only_what_is_known)
{
    for (const auto& row : refusal_rows) {
        const auto answer = encode_refusal(row.kind, row.retry_after);
        const std::string name{name_of(row.kind)};
        CHECK_EQUAL_TEXT(row.status, answer.result_int(), name.c_str());
        STRCMP_EQUAL_TEXT(row.seconds, std::string{answer[http::field::retry_after]}.c_str(),
                          name.c_str());
    }
    for (const auto& row : error_table()) {
        const auto status = encode_refusal(row.kind, {}).result_int();
        const bool promises = status == 503 || status == 429 || status == 408 || status == 421;
        CHECK_TRUE_TEXT(!promises || row.ran == run_state::not_run, std::string{row.name}.c_str());
    }
}

TEST(request_codec_test, names_the_only_server_that_may_take_a_request)
{
    http::fields fields;
    encode_server_head(fields, {"i-7"}, milliseconds{850});
    STRCMP_EQUAL("i-7", std::string{fields["Figreach-Expect-Instance"]}.c_str());
    STRCMP_EQUAL("850", std::string{fields["Figreach-Deadline-Ms"]}.c_str());
}
