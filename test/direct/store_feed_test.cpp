// The leader answers polls while answers of the store to its watches are missing.

#include "figreach/direct/runtime/store_feed.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "../property.h"
#include "figreach/runtime/event_loop.h"
#include "figreach/runtime/metrics.h"
#include "store_server.h"

using namespace figreach;
using namespace figreach::direct;

namespace {

namespace asio = boost::asio;

struct watch_row {
    const char* name;
    std::uint32_t lost_watches; ///< of the first ones
    milliseconds leads_after;   ///< when this host begins to lead
    const char* silent_prefix;  ///< watches of it are never answered; empty: none
    milliseconds duration{1600};
};

const watch_row watch_rows[] = {
    {"watches that began before this host led", 0, milliseconds{300}, ""},
    {"watches whose answers are lost", 3, milliseconds{0}, ""},
    {"answers for key tables are missing", 0, milliseconds{0}, "figreach/"},
    {"answers for key tables are missing for long", 0, milliseconds{0}, "figreach/",
     milliseconds{3600}},
};

struct outdated_row {
    const char* name;
    const char* silent_prefix; ///< watches of it are never answered; empty: none
    bool may_lack_servers;
};

const outdated_row outdated_rows[] = {
    {"the store answers", "", false},
    {"no news of servers", "servers/", true},
    {"no news of configurations", "op/", false},
};

class feed_fixture {
public:
    feed_fixture()
        : store{this->io, this->model, 1},
          state{this->io, this->settings(), this->page},
          feed{this->state}
    {
    }
    ~feed_fixture() { this->io.destroy_handlers(); }
    feed_fixture(const feed_fixture&) = delete;
    feed_fixture& operator=(const feed_fixture&) = delete;

    [[nodiscard]] std::size_t known_hosts() const { return this->state.cluster.host_count(); }
    [[nodiscard]] bool lost_store() const { return this->store_lost; }
    /// Number of polls that were refused.
    int refused_polls(const watch_row& row)
    {
        this->store.faults.lost_watches = row.lost_watches;
        this->store.faults.silent_prefix = row.silent_prefix;
        this->feed.start();
        asio::co_spawn(this->io, this->poll(row), asio::detached);
        this->io.run_for(row.duration);
        return this->refused;
    }

    /// Whether this host, as the leader, may lack entries of servers for half a second on end, well
    /// after watches have begun to be unanswered.
    bool may_lack_servers(const char* silent_prefix)
    {
        this->feed.start();
        this->state.leads = true;
        this->io.run_for(milliseconds{300});
        this->store.faults.silent_prefix = silent_prefix;
        // The watch that is under way is answered at its end.
        this->io.run_for(milliseconds{2200});
        bool out = true;
        for (int i = 0; i < 50; ++i) {
            this->io.run_for(milliseconds{10});
            out = out && this->feed.may_lack_servers(monotonic_time::clock::now());
        }
        return out;
    }

    /// Whether this host, as the leader, knows the last of its tables 400 ms after it wrote them,
    /// though watches are not answered after the first one.
    bool learns_own_tables(int writes)
    {
        this->feed.start();
        this->state.leads = true;
        this->io.run_for(milliseconds{300});
        auto latest = this->write_table();
        this->store.notify();
        this->io.run_for(milliseconds{5});
        this->store.faults.silent_prefix = "figreach/";
        for (int i = 1; i < writes; ++i) {
            latest = this->write_table();
        }
        this->io.run_for(milliseconds{400});
        return this->state.cluster.keys_revision({"lessons"}) == latest;
    }

private:
    static constexpr milliseconds poll_interval{20};

    store_revision write_table()
    {
        store_transaction change;
        change.writes.push_back({.key = std::string{key_tables_prefix} + "lessons",
                                 .value = encode(make_key_table({"lessons"}))});
        const auto written = this->model.commit(change, monotonic_time::clock::now());
        const auto revision = std::get<store_revision>(written);
        this->state.unseen_tables.push_back(revision);
        return revision;
    }

    [[nodiscard]] direct_settings settings() const
    {
        direct_settings out;
        out.name = {"h1"};
        out.peer_address = "127.0.0.1:0";
        out.store_address = this->store.address();
        return out;
    }

    void register_host()
    {
        const live_host host{.name = {"h2"}, .lifetime = 1, .peer_address = "127.0.0.1:1"};
        store_transaction entry;
        entry.writes.push_back({.key = hosts_prefix + host.name.value, .value = encode(host)});
        (void)this->model.commit(entry, monotonic_time::clock::now());
        this->store.notify();
    }

    asio::awaitable<void> poll(watch_row row)
    {
        co_await sleep_for(this->io, row.leads_after);
        this->state.leads = true;
        co_await sleep_for(this->io, milliseconds{200});
        this->register_host();
        for (;;) {
            const store_revision known{this->state.store.era(), this->model.revision()};
            follow_request request{.host = {"h2"}, .positions = {}};
            for (const auto part : {store_part::operators, store_part::servers, store_part::own}) {
                request.positions[part] = known;
            }
            // The answer waits for changes; whether it is one at all is known at once.
            const auto answer = co_await this->feed.answer(request);
            this->refused += answer ? 0 : 1;
            this->store_lost = this->store_lost || !this->state.store_reachable;
            co_await sleep_for(this->io, poll_interval);
        }
    }

    event_loop io;
    standin::store_model model;
    standin::store_server store;
    metrics page;
    host_context state;
    store_feed feed;
    int refused = 0;
    bool store_lost = false;
};

} // namespace

TEST_GROUP(store_feed_test){};

/// Guards against hosts that all watch the store themselves because one answer to the leader is
/// missing.
TEST(store_feed_test, a_leader_answers_polls_while_a_watch_is_overdue)
{
    for (const auto& row : watch_rows) {
        feed_fixture host;
        CHECK_EQUAL_TEXT(0, host.refused_polls(row), row.name);
        CHECK_FALSE_TEXT(host.lost_store(), row.name);
    }
}

/// Guards against a leader that never learns of changes again once the answer to its watch of the
/// key tables, with every version of them, takes longer than the time-out.
TEST(store_feed_test, a_leader_learns_of_changes_without_answers_to_its_watch)
{
    for (const auto& row : watch_rows) {
        if (row.duration > seconds{2}) {
            feed_fixture host;
            (void)host.refused_polls(row);
            CHECK_EQUAL_TEXT(1, host.known_hosts(), row.name);
        }
    }
}

/// Guards against relying on entries of servers that may have changed since.
TEST(store_feed_test, a_host_knows_that_it_may_lack_entries_of_servers)
{
    for (const auto& row : outdated_rows) {
        feed_fixture host;
        const bool may_lack = host.may_lack_servers(row.silent_prefix);
        CHECK_EQUAL_TEXT(row.may_lack_servers, may_lack, row.name);
    }
}

/// Guards against answers to a watch that hold many versions of a table: once some are missing, the
/// latest one is read instead, here while watches are not answered at all.
TEST(store_feed_test, a_leader_reads_its_tables_anew_after_several_writes)
{
    feed_fixture host;
    CHECK_TRUE(host.learns_own_tables(4));
}
