// Entries of another writer among those of the backend servers.

#include "../property.h"
#include "backend_server.h"
#include "figreach/direct/runtime/store_feed.h"
#include "figreach/runtime/event_loop.h"
#include "figreach/runtime/metrics.h"
#include "store_server.h"

using namespace figreach;
using namespace figreach::direct;

namespace {

namespace asio = boost::asio;

constexpr milliseconds longest_wait{3000};

std::string entry(std::uint64_t report, const std::string& state, const std::string& address)
{
    return R"({"address":")" + address + R"(","born":1700000000123,
        "info":{"service":"lessons","zone":"hill","version":"v1","slots":4},
        "status":{"state":")" +
           state + R"(","seq":)" + std::to_string(report) + R"(,"cold_left_s":0}})";
}

struct odd_row {
    const char* name;
    const char* key;
    std::string value;
};

const odd_row odd_rows[] = {
    {"nested very deeply", "servers/odd", std::string(300'000, '[')},
    {"a number that is too large", "servers/odd", R"({"born":1e400,"status":{"seq":1e300}})"},
    {"a port out of range", "servers/odd", entry(1, "ready", "127.0.0.1:70000")},
    {"a state that is not named", "servers/odd", entry(1, "asleep", "127.0.0.1:7000")},
    {"an id that cannot be sent", "servers/o\r\nX: 1", entry(1, "ready", "127.0.0.1:7000")},
    {"no bytes", "servers/odd", ""},
    {"no version", "servers/odd",
     R"({"address":"127.0.0.1:7002","born":1800000000123,"info":{"service":"lessons","zone":"hill",
        "slots":4},"status":{"state":"ready","seq":1,"cold_left_s":0}})"},
    {"a service that is not named, at the address of a server", "servers/odd",
     R"({"address":"127.0.0.1:7002","born":1800000000123,"info":{"service":"reports","zone":"hill",
        "version":"v1","slots":4},"status":{"state":"ready","seq":1,"cold_left_s":0}})"},
    {"a service that is not named, under the id of a server", "servers/a",
     R"({"address":"127.0.0.1:7001","born":1800000000123,"info":{"service":"reports","zone":"hill",
        "version":"v1","slots":4},"status":{"state":"ready","seq":9,"cold_left_s":0}})"},
    {"under the id of a server", "servers/a", "{}"},
    {"a huge report under the id of a server", "servers/a",
     R"({"address":"127.0.0.1:7001","born":1700000000123,"info":{"service":"lessons","zone":"hill",
        "version":"v1","slots":4},"status":{"state":"ready","seq":18446744073709551615,"cold_left_s":0}})"},
};

/// Follows the entries in a store.
class entries_fixture {
public:
    entries_fixture()
        : store{this->io, this->model, 1},
          state{this->io, this->settings(), this->page},
          feed{this->state}
    {
    }
    ~entries_fixture() { this->io.destroy_handlers(); }
    entries_fixture(const entries_fixture&) = delete;
    entries_fixture& operator=(const entries_fixture&) = delete;

    void write(const std::string& key, const std::string& value)
    {
        store_transaction change;
        change.writes.push_back({.key = key, .value = value});
        (void)this->model.commit(change, monotonic_time::clock::now());
        this->store.notify();
    }
    void start()
    {
        this->write("op/config", R"({"version":"r1","resources":[{"type":"services",
            "metadata":{"name":"lessons"},"spec":{"max_conns":4}}]})");
        this->feed.start();
    }
    /// Returns whether the server was known in time, and whether it was leaving as expected.
    bool learns(const char* server, bool leaving)
    {
        const auto until = monotonic_time::clock::now() + longest_wait;
        const auto is_known = [&] {
            const auto* record = this->servers().find({server});
            return record != nullptr && record->leaving_since.has_value() == leaving;
        };
        while (!is_known() && monotonic_time::clock::now() < until) {
            this->io.run_for(milliseconds{10});
        }
        return is_known();
    }
    [[nodiscard]] const server_directory& servers() const { return this->state.cluster.servers(); }

private:
    [[nodiscard]] direct_settings settings() const
    {
        direct_settings out;
        out.name = {"h1"};
        out.peer_address = "127.0.0.1:0";
        out.store_address = this->store.address();
        return out;
    }

    event_loop io;
    standin::store_model model;
    standin::store_server store;
    metrics page;
    host_context state;
    store_feed feed;
};

} // namespace

TEST_GROUP(odd_entries_test){};

/// Guards against one odd entry by which hosts end, or no longer follow the others.
TEST(odd_entries_test, the_other_servers_are_followed)
{
    for (const auto& row : odd_rows) {
        for (const bool listed : {true, false}) {
            entries_fixture host;
            host.write("servers/a", entry(1, "ready", "127.0.0.1:7001"));
            host.write("servers/b", entry(1, "ready", "127.0.0.1:7002"));
            if (!listed) {
                host.start();
                CHECK_TRUE_TEXT(host.learns("b", false), row.name);
            }
            host.write(row.key, row.value);
            if (listed) {
                host.start();
            }
            CHECK_TRUE_TEXT(host.learns("b", false), row.name);
            // What the servers report next is taken.
            host.write("servers/a", entry(2, "draining", "127.0.0.1:7001"));
            host.write("servers/c", entry(1, "ready", "127.0.0.1:7003"));
            CHECK_TRUE_TEXT(host.learns("c", false), row.name);
            CHECK_TRUE_TEXT(host.learns("a", true), row.name);
            CHECK_TRUE_TEXT(host.servers().find({"odd"}) == nullptr, row.name);
        }
    }
}
