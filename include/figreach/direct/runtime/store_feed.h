#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include <boost/asio/awaitable.hpp>

#include "figreach/direct/follow.h"
#include "figreach/direct/runtime/host_context.h"
#include "figreach/direct/runtime/http_client.h"
#include "figreach/direct/watch_backoff.h"

namespace figreach::direct {

struct follow_pace;

/// Keeps a host's cluster state up to date by loading a snapshot of each part of the store and then
/// its changes. The leader watches the store; followers poll the leader for changes. While it does
/// not answer, one host in each failure domain watches the store and answers polls
/// (order_store_readers); the others watch it themselves only if none of these answers.
class store_feed {
public:
    /// `state` must outlive the feed.
    explicit store_feed(host_context& state);

    /// Starts the coroutines, which run as long as the io_context.
    void start();

    /// Returns the changes that another host lacks; waits a short time if there are none. Returns
    /// nullopt if this host cannot tell whether its change log is complete.
    boost::asio::awaitable<std::optional<follow_answer>> answer(const follow_request& request);
    /// Whether this host reads the store for others because no leader answers.
    [[nodiscard]] bool reads_for_others() const;
    /// The leader whose answers are currently relied on, if any.
    [[nodiscard]] std::optional<leader_hint> followed_leader() const;
    /// Whether the store may hold newer entries of backend servers than this host knows, since
    /// neither it nor another host has confirmed them lately.
    [[nodiscard]] bool may_lack_servers(monotonic_time now) const;
    /// Returns and clears the loads that have not been reported yet.
    [[nodiscard]] std::vector<key_load_entry> take_loads();
    /// Counts a request for a key, to be reported to the leader.
    void record_load(const service_id& service, std::uint32_t key);
    /// Called after changes of the cluster state: logs them, hands on what the host takes over from
    /// them and notifies those who wait.
    void publish(const std::vector<state_change>& lines);
    /// Accepts another host's information about the current leader unless its term is outdated.
    void accept_hint(const leader_hint& reported);

private:
    struct part_state {
        change_log log;
        std::optional<store_revision> position; ///< nullopt if a snapshot is needed
        std::uint32_t failures = 0;             ///< consecutive failed calls
        monotonic_time answered_at{};           ///< when the store last answered for this part
        monotonic_time answered_call{};         ///< when the call began that it answered
    };

    boost::asio::awaitable<void> join();
    boost::asio::awaitable<void> watch(store_part part);
    boost::asio::awaitable<void> watch_once(store_part part);
    void record_answer(store_part part, monotonic_time called_at);
    void record_failure(store_part part, store_failure failure, monotonic_time called_at);
    [[nodiscard]] bool answered_otherwise(store_part part, monotonic_time called_at) const;
    boost::asio::awaitable<void> confirm(store_part part);
    [[nodiscard]] bool needs_confirmation(store_part part) const;
    boost::asio::awaitable<void> load_snapshot(store_part part);
    boost::asio::awaitable<std::optional<store_snapshot>> read_part(store_part part);
    boost::asio::awaitable<void> load_changes(store_part part, store_revision after);
    boost::asio::awaitable<void> catch_up(store_part part, store_revision after);
    boost::asio::awaitable<void> follow();
    boost::asio::awaitable<bool> poll_leader(leader_hint leader);
    boost::asio::awaitable<bool> poll_reader();
    boost::asio::awaitable<std::optional<follow_answer>> poll(leader_hint host,
                                                              follow_request request);
    [[nodiscard]] follow_request make_poll_request() const;
    void apply_answer(follow_answer answer, monotonic_time asked_at);
    void confirm_configuration(store_part part, monotonic_time asked_at);
    [[nodiscard]] bool may_poll(const leader_hint& leader) const;
    void stop_relying_on_others();
    [[nodiscard]] std::vector<host_id> store_readers() const;
    [[nodiscard]] bool is_store_reader() const;
    [[nodiscard]] bool is_confirmed_by_store(store_part part, monotonic_time now) const;
    boost::asio::awaitable<void> find_other_leader();
    [[nodiscard]] std::optional<leader_hint> leader_to_follow() const;
    [[nodiscard]] part_positions positions() const;
    [[nodiscard]] bool waits_for_reload(store_revision position) const;
    [[nodiscard]] follow_pace pace() const;
    [[nodiscard]] watch_backoff backoff() const;
    boost::asio::awaitable<void> pause_after_failure(store_part part);
    [[nodiscard]] monotonic_time oldest_answer(store_part part, monotonic_time now) const;
    [[nodiscard]] std::optional<follow_answer> changes_since(const follow_request& request) const;
    void complete_tables(store_changes& listing) const;
    void record_poll_outcome(const follow_request& request, bool answered);
    void log_refused_polls(const follow_request& request) const;
    void apply(store_part part, store_changes changes);
    [[nodiscard]] std::optional<item_update> interpret_change(const store_change& change) const;
    [[nodiscard]] store_change as_delta(const store_change& change,
                                        const item_update& update) const;
    void apply_listing(store_part part, store_changes listing);
    void apply_snapshot(store_part part, const store_snapshot& snapshot);

    host_context& state;
    http_client peers;
    std::map<store_part, part_state> parts;
    std::optional<leader_hint> hint; ///< leader reported by another host
    std::optional<leader_hint> followed;
    std::optional<leader_hint> told;       ///< leader that has all evidence of this host
    std::uint64_t load_cursor = 0;         ///< in the answers of that leader
    std::uint64_t refused_polls = 0;       ///< of followers, since the last answered one
    monotonic_time followed_until{};       ///< answers of other hosts are relied on until then
    bool relied_on_others = false;         ///< the last poll was answered
    std::size_t next_reader = 0;           ///< the reader to poll next
    std::optional<leader_hint> unanswered; ///< leader that did not answer the last poll
    monotonic_time poll_leader_at{};       ///< when that one is polled again if a reader answers
    monotonic_time next_probe{}; ///< earliest time to probe the store when no leader answers
    std::map<std::pair<service_id, std::uint32_t>, std::uint32_t> loads;
};

} // namespace figreach::direct
