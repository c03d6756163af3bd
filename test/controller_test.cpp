#include "figreach/controller.h"

#include "figreach/document_codec.h"
#include "property.h"

using namespace figreach;

namespace {

const monotonic_time start{std::chrono::hours{1}};

const char* const description_toml = R"(
tenant = [{ name = "pelita" }]
[[failure_domain]]
name = "fd-1"
region = "my"
[[service]]
name = "lessons"
tenant = "pelita"
[[backend_server]]
name = "lessons-1"
service = "lessons"
failure_domain = "fd-1"
address = "127.0.0.1:7401"
)";

/// A single host with a store and a backend server that answer immediately.
struct single_host {
    controller decisions{{.name = {"host-1"},
                          .incarnation = 1,
                          .failure_domain = {"fd-1"},
                          .peer_address = "peer",
                          .forward_address = "forward"},
                         {}};
    std::string document;
    std::shared_ptr<const routing_snapshot> routes;
    std::vector<grant> grants;
    monotonic_time may_send_until{};

    void run(milliseconds from, milliseconds to)
    {
        constexpr milliseconds interval{25};
        for (auto at = from; at < to; at += interval) {
            this->handle(tick{}, start + at);
        }
    }

    void handle(const control_event& event, monotonic_time now)
    {
        for (const auto& action : this->decisions.handle(event, now)) {
            std::visit([this, now](const auto& one) { this->carry_out(one, now); }, action);
        }
    }

    void carry_out(const send_to_host&, monotonic_time) {}

    void carry_out(const call_store& one, monotonic_time now)
    {
        if (const auto* write = std::get_if<compare_and_swap>(&one.request)) {
            this->document = write->value;
            this->handle(store_answered{.call = one.call, .result = store_written{1}}, now);
            return;
        }
        store_read read;
        const auto* single = std::get_if<read_key>(&one.request);
        if (single != nullptr && single->key == description_key) {
            const description_history history{{.version = 3, .toml = description_toml}};
            read.values.push_back({.key = single->key, .value = encode(history), .revision = 1});
        }
        else if (!this->document.empty()) {
            read.values.push_back({.key = "document", .value = this->document, .revision = 1});
        }
        this->handle(store_answered{.call = one.call, .result = read}, now);
    }

    void carry_out(const call_server& one, monotonic_time now)
    {
        this->grants.push_back(one.request);
        const grant_answer answer{.accepted = true,
                                  .sequence = one.request.sequence,
                                  .term = one.request.term,
                                  .incarnation = 1};
        this->handle(server_answered{.server = one.server,
                                     .sequence = one.request.sequence,
                                     .answer = answer},
                     now);
    }

    void carry_out(const publish_routes& one, monotonic_time) { this->routes = one.snapshot; }

    void carry_out(const extend_authority& one, monotonic_time)
    {
        this->may_send_until = one.until;
    }
};

} // namespace

TEST_GROUP(controller_test){};

TEST(controller_test, a_lone_host_creates_the_partition_and_grants_it)
{
    single_host one;
    one.run(milliseconds{0}, milliseconds{3000});
    CHECK_EQUAL(1U, decode_partition(one.document)->version);
    CHECK_EQUAL(16U, one.grants.back().slices.size());
    CHECK_TRUE(one.grants.back().duration > milliseconds{0});
    CHECK_TRUE(one.may_send_until > start + milliseconds{3000});
    CHECK_TRUE(one.routes->servers.at({"lessons-1"}).coordinated_here);
    CHECK_EQUAL(3U, one.routes->system_description->version);
}

TEST(controller_test, an_older_description_of_a_peer_changes_nothing)
{
    single_host one;
    one.run(milliseconds{0}, milliseconds{2000});
    const document_offer older{
        .partition = {},
        .description = encode(description_record{.version = 2, .toml = description_toml})};
    one.handle(peer_received{{.sender = {"host-2"}, .incarnation = 1, .body = older}},
               start + milliseconds{2000});
    CHECK_EQUAL(3U, one.routes->system_description->version);
}
