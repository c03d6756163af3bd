#include "figreach/rpc/operator_server.h"

#include "certificate.h"
#include "figreach/document_codec.h"
#include "operator_fixture.h"
#include "property.h"

using namespace operator_fixture;

namespace {

constexpr milliseconds long_timeout{20000};

void prepare(grpc::ClientContext& context, const std::string& bearer,
             milliseconds timeout = long_timeout)
{
    context.set_deadline(std::chrono::system_clock::now() + timeout);
    if (!bearer.empty()) {
        context.AddMetadata("authorization", "Bearer " + bearer);
    }
}

grpc::Status apply(const fixture& on, wire::ApplyAnswer& answer, const std::string& bearer,
                   std::uint64_t based_on = 0, milliseconds timeout = long_timeout)
{
    grpc::ClientContext context;
    prepare(context, bearer, timeout);
    wire::ApplyRequest request;
    request.set_description_toml(sample_description());
    request.set_based_on_version(based_on);
    request.set_changed_by("ann");
    request.set_reason("first");
    return on.stub()->Apply(&context, request, &answer);
}

wire::HistoryAnswer history(const fixture& on)
{
    grpc::ClientContext context;
    prepare(context, "");
    wire::HistoryAnswer answer;
    CHECK(on.stub()->History(&context, {}, &answer).ok());
    return answer;
}

struct refusal_row {
    const char* configured;
    const char* presented;
    const char* message;
};

const refusal_row refusal_rows[] = {
    {token, "", "a change needs the operators' token or certificate"},
    {token, "0123456789abcdeg", "a change needs the operators' token or certificate"},
    {"", token,
     "this entry host serves reads only: its settings name no operator_token and no "
     "tls_client_ca"},
};

} // namespace

TEST_GROUP(operator_server_test){};

TEST(operator_server_test, refuses_changes_without_the_token_and_serves_reads)
{
    for (const auto& row : refusal_rows) {
        const fixture on{with_token(row.configured)};
        wire::ApplyAnswer answer;
        const auto status = apply(on, answer, row.presented);
        LONGS_EQUAL(grpc::StatusCode::UNAUTHENTICATED, status.error_code());
        STRCMP_EQUAL(row.message, status.error_message().c_str());
        LONGS_EQUAL(0, history(on).entries_size());
        CHECK(!on.accepted);
    }
}

TEST(operator_server_test, accepts_records_and_announces_a_change)
{
    const fixture on{with_token(token)};
    wire::ApplyAnswer answer;
    CHECK(apply(on, answer, token).ok());
    LONGS_EQUAL(wire::ApplyAnswer::ACCEPTED, answer.outcome());
    LONGS_EQUAL(1, answer.version());
    const auto entries = history(on);
    LONGS_EQUAL(1, entries.entries_size());
    STRCMP_EQUAL("ann (token)", entries.entries(0).changed_by().c_str());
    LONGS_EQUAL(1, decode_history(on.accepted.value().value)->back().version);
    CHECK(apply(on, answer, token).ok());
    LONGS_EQUAL(wire::ApplyAnswer::CONFLICT, answer.outcome());
}

TEST(operator_server_test, resolves_a_lost_answer_and_tells_of_a_store_that_is_down)
{
    fixture on{with_token(token)};
    on.store.answers_to_lose = 1;
    wire::ApplyAnswer answer;
    CHECK(apply(on, answer, token).ok());
    LONGS_EQUAL(wire::ApplyAnswer::ACCEPTED, answer.outcome());
    on.store.down = true;
    constexpr milliseconds short_timeout{1000};
    CHECK(apply(on, answer, token, 1, short_timeout).ok());
    LONGS_EQUAL(wire::ApplyAnswer::NOT_ACCEPTED, answer.outcome());
    on.store.down = false;
    LONGS_EQUAL(1, history(on).entries_size());
}

TEST(operator_server_test, says_so_when_the_outcome_is_not_known)
{
    fixture on{with_token(token)};
    on.store.goes_down_with_next_write = true;
    wire::ApplyAnswer answer;
    constexpr milliseconds short_timeout{1000};
    CHECK(apply(on, answer, token, 0, short_timeout).ok());
    LONGS_EQUAL(wire::ApplyAnswer::UNKNOWN, answer.outcome());
    on.store.goes_down_with_next_write = false;
    on.store.down = false;
    LONGS_EQUAL(1, history(on).entries_size());
}

TEST(operator_server_test, takes_a_domain_out)
{
    const fixture on{with_token(token)};
    wire::ApplyAnswer answer;
    CHECK(apply(on, answer, token).ok());
    grpc::ClientContext context;
    prepare(context, token);
    wire::DomainRequest request;
    request.set_failure_domain("a");
    CHECK(on.stub()->Domain(&context, request, &answer).ok());
    LONGS_EQUAL(wire::ApplyAnswer::ACCEPTED, answer.outcome());
    STRCMP_EQUAL("failure_domain 'a'.state: in -> out", answer.changes(0).c_str());
}

TEST(operator_server_test, tells_status_and_explains_a_key)
{
    fixture on;
    grpc::ClientContext before;
    prepare(before, "");
    wire::StatusAnswer status;
    CHECK(on.stub()->Status(&before, {}, &status).ok());
    STRCMP_CONTAINS("apply the first one", status.advice(0).c_str());
    on.routes.publish(sample_routing());
    grpc::ClientContext after;
    prepare(after, "");
    CHECK(on.stub()->Status(&after, {}, &status).ok());
    LONGS_EQUAL(1, status.hosts_size());
    LONGS_EQUAL(1, status.servers(0).slices());
    wire::ExplainRequest request;
    request.set_service("lessons");
    request.set_key("k");
    grpc::ClientContext explaining;
    prepare(explaining, "");
    wire::ExplainAnswer where;
    CHECK(on.stub()->Explain(&explaining, request, &where).ok());
    STRCMP_EQUAL("s1", where.owner().c_str());
    LONGS_EQUAL(9, where.fence());
    STRCMP_EQUAL("h1", where.coordinator().c_str());
}

TEST(operator_server_test, watch_tells_each_new_version)
{
    fixture on;
    grpc::ClientContext context;
    prepare(context, "");
    const auto stream = on.stub()->Watch(&context, {});
    wire::WatchEvent event;
    CHECK(stream->Read(&event));
    LONGS_EQUAL(0, event.version());
    on.routes.publish(sample_routing());
    CHECK(stream->Read(&event));
    LONGS_EQUAL(1, event.version());
    on.server.reset();
    CHECK(!stream->Read(&event));
}

TEST(operator_server_test, a_client_certificate_allows_changes_and_names_the_author)
{
    const auto host = make_certificate("h1");
    const auto ann = make_certificate("ann-by-certificate");
    const temporary_file certificate{host.pem};
    const temporary_file key{host.key};
    const temporary_file authority{ann.pem};
    operator_settings settings;
    settings.tls_certificate = certificate.path;
    settings.tls_key = key.path;
    settings.tls_client_ca = authority.path;
    const fixture on{settings};
    const auto call = [&](const std::shared_ptr<grpc::ChannelCredentials>& credentials,
                          wire::ApplyAnswer& answer) {
        grpc::ClientContext context;
        prepare(context, "");
        wire::ApplyRequest request;
        request.set_description_toml(sample_description());
        return on.stub(credentials)->Apply(&context, request, &answer);
    };
    wire::ApplyAnswer answer;
    CHECK(!call(grpc::InsecureChannelCredentials(), answer).ok());
    CHECK(!call(grpc::SslCredentials({host.pem, "", ""}), answer).ok());
    const auto status = call(grpc::SslCredentials({host.pem, ann.key, ann.pem}), answer);
    STRCMP_EQUAL("", status.error_message().c_str());
    LONGS_EQUAL(wire::ApplyAnswer::ACCEPTED, answer.outcome());
    STRCMP_EQUAL("ann-by-certificate (certificate)",
                 decode_history(on.accepted.value().value)->back().changed_by.c_str());
}
