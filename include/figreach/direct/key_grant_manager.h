#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "figreach/direct/key_order.h"
#include "figreach/direct/key_plan.h"
#include "figreach/direct/key_table.h"
#include "figreach/time.h"

namespace figreach::direct {

struct grant_manager_settings {
    milliseconds hold{2800};          ///< validity of a grant; derived in docs/platform.md
    milliseconds renew_interval{600}; ///< leader failover takes less than hold - renew_interval
    milliseconds large_fleet_renew_interval{1200}; ///< halves the renewals; hold grows equally
    milliseconds longest_hold{3400};       ///< of leaders before, whose fleet may have been large
    std::size_t large_fleet = 40;          ///< number of entry hosts from which a fleet is large
    milliseconds retry_interval{150};      ///< delay after an unanswered order
    milliseconds avoid_unresponsive{2000}; ///< how long an unresponsive server gets no keys
    milliseconds order_timeout{350};       ///< a few round trips to a busy server
    milliseconds release_timeout{2500};    ///< the server answers only after its running work ended
    milliseconds margin{150};              ///< covers delays of orders and timers
    std::uint32_t clock_drift_percent = 2; ///< how much slower a server's clock may run
    std::uint32_t unresponsive_after = 2;  ///< consecutive unanswered grants before keys move away
    /// Between looks at the whole table for moves, which take time in proportion to its ranges.
    std::chrono::microseconds plan_interval_per_range{25};
    milliseconds placement_delay{60};     ///< batches keys that become free
    milliseconds rebalance_interval{500}; ///< between checks of the load balance
    key_plan_settings plan;
};

/// Returns the settings for a fleet with this many entry hosts. A large fleet has many servers and
/// ranges, and renewing them at the usual interval would take all CPU time of the leader, so grants
/// are longer and renewals less frequent there. `max_hold` bounds the hold.
[[nodiscard]] grant_manager_settings for_fleet(grant_manager_settings settings, std::size_t hosts,
                                               milliseconds max_hold);

/// Distribution of the requests of a service over its keys, observed over two time windows.
struct observed_loads {
    key_loads recent; ///< short window: reveals a hot key quickly
    key_loads usual;  ///< long window: reveals small differences
};

/// An order to send to a backend server.
struct send_order {
    std::uint64_t call = 0; ///< identifies the call in on_answer
    backend_server_id server;
    std::string address;
    key_order order;
    milliseconds timeout{0};
};

/// A table to write on the condition that the store still holds the current one.
struct write_table {
    key_table table;
};

using grant_manager_action = std::variant<send_order, write_table>;
using grant_manager_actions = std::vector<grant_manager_action>;

/// Grants the keys of one service, renews the grants and moves keys. Runs on the leader. A move
/// takes three steps, each of which starts only after the previous one has taken effect:
/// 1. The table marks the range as moving and gives it a new fence.
/// 2. The owner gets a grant with that fence, so that it rejects all earlier grants that may still
///    be in flight, and then a release. Alternatively, all grants that it may hold expire.
/// 3. The table names the new owner and gives the range another new fence.
class key_grant_manager {
public:
    /// `former_orders_end` is an upper bound of the time when the last grant of an earlier leader
    /// expires.
    key_grant_manager(grant_manager_settings settings, key_table current,
                      monotonic_time former_orders_end, monotonic_time now);

    /// Returns the actions that are due. `servers` are those of the service, sorted by id,
    /// including ones that are shutting down.
    [[nodiscard]] grant_manager_actions on_tick(const std::vector<key_server>& servers,
                                                const observed_loads& loads, monotonic_time now);
    /// Continues after the store came back from a copy: the current table replaces the stored one,
    /// and a write under way has no effect. Further fences are not below `first_fence`.
    void continue_in_new_era(std::uint64_t first_fence);
    /// Lowers the upper bound of the time when the grants of earlier leaders expire.
    void limit_former_orders(monotonic_time end);
    /// No owner gets the fence of a move earlier. Until then a server that restarts and so forgets
    /// the fence may get grants of an earlier leader.
    void set_former_leases_end(monotonic_time end);
    void on_answer(std::uint64_t call, const order_answer& answer, monotonic_time now);
    /// Confirms that the store holds the table of the last write_table.
    void on_written(monotonic_time now);
    /// Reports that the last write_table did not take effect and never will.
    void on_not_written();

    [[nodiscard]] const key_table& table() const;
    [[nodiscard]] bool writing() const;

private:
    struct range_state {
        /// Latest time until which the owner may hold the keys, not counting a grant in flight.
        monotonic_time held_until{};
        /// The same for grants of earlier leaders that the owner may still hold or receive.
        monotonic_time former_until{};
        monotonic_time next_order{};
        std::optional<std::uint64_t> call;
        std::set<std::uint64_t> in_flight_grants; ///< sent before the current fence was written
        bool granted = false;                     ///< the owner acknowledged the current fence
        bool released = false;                    ///< the owner released the keys or has ended
        bool needs_fence = false;                 ///< the fence may be too low or not the last one
        std::string handover;                     ///< token returned by the release

        [[nodiscard]] monotonic_time latest_hold_end() const
        {
            return std::max(this->held_until, this->former_until);
        }
    };
    struct server_state {
        bool grant_open = false;    ///< the next grant waits for the answer of this one
        std::uint32_t failures = 0; ///< consecutive unanswered orders
        monotonic_time next_try{};
        monotonic_time avoid_until{};
    };
    struct pending_call {
        backend_server_id server;
        std::uint64_t lifetime = 0; ///< lifetime of the server process
        std::uint32_t first = 0;
        std::uint64_t fence = 0;
        milliseconds hold{0}; ///< zero for a release
    };

    void finish_in_flight(std::uint64_t call, const pending_call& pending, order_outcome outcome,
                          monotonic_time now);
    void send_due_order(const key_range& range, range_state& state,
                        const std::vector<key_server>& servers, grant_manager_actions& out,
                        monotonic_time now);
    void grant(const key_range& range, range_state& state, const key_server& owner,
               grant_manager_actions& out, monotonic_time now);
    void release(const key_range& range, range_state& state, const key_server& owner,
                 grant_manager_actions& out, monotonic_time now);
    void update_server_state(const pending_call& call, const order_answer& answer,
                             monotonic_time now);
    void apply_answer(const key_range& range, range_state& state, const pending_call& call,
                      const order_answer& answer, monotonic_time now);
    [[nodiscard]] monotonic_time hold_end(milliseconds hold, monotonic_time from) const;
    [[nodiscard]] bool is_settled(const key_range& range) const;
    [[nodiscard]] bool has_open_grant(const range_state& state) const;
    void add_in_flight(range_state& out, const range_state& former) const;
    [[nodiscard]] bool all_settled(const key_span& keys) const;
    [[nodiscard]] milliseconds hold_for_move(const range_state& state, monotonic_time now) const;
    [[nodiscard]] bool is_unresponsive(const backend_server_id& id) const;
    [[nodiscard]] bool shows_other_server(const pending_call& call, order_outcome outcome) const;
    [[nodiscard]] bool is_replaced(const backend_server_id& id, std::uint64_t lifetime) const;
    [[nodiscard]] bool has_ended(const key_range& range, const key_server* owner,
                                 monotonic_time now) const;
    [[nodiscard]] std::vector<key_server> exclude_unavailable(std::vector<key_server> servers,
                                                              monotonic_time now) const;

    [[nodiscard]] std::optional<key_table> next_table(const std::vector<key_server>& servers,
                                                      const observed_loads& loads,
                                                      monotonic_time now);
    [[nodiscard]] std::vector<unowned_keys> free_ranges(const std::vector<key_server>& servers,
                                                        monotonic_time now) const;
    void place_free_keys(key_table& draft, const std::vector<key_server>& servers,
                         const observed_loads& loads, monotonic_time now);
    [[nodiscard]] bool more_keys_pending(std::size_t free) const;
    [[nodiscard]] const range_state* state_of_unchanged(const key_range& range) const;
    void renew_fences(key_table& draft) const;
    void adopt_restarted(key_table& draft, const std::vector<key_server>& servers) const;
    void drop_used_tokens(key_table& draft) const;
    void move_from_unavailable(key_table& draft, const std::vector<key_server>& servers) const;
    void balance(key_table& draft, const std::vector<key_server>& servers,
                 const observed_loads& loads, monotonic_time now);
    [[nodiscard]] range_state carry_over_state(const key_range& range, monotonic_time now) const;

    grant_manager_settings settings;
    key_table current;
    std::optional<key_table> pending_write;      ///< sent to the store, not yet confirmed
    std::map<std::uint32_t, range_state> states; ///< keyed by the first key of the range
    std::map<backend_server_id, server_state> server_states;
    /// Lifetimes of servers whose address another server answers at.
    std::map<backend_server_id, std::uint64_t> replaced;
    /// Lifetimes of servers whose address another server has registered.
    std::map<backend_server_id, std::uint64_t> claimed;
    std::map<std::uint64_t, pending_call> calls;
    std::set<std::uint64_t> in_flight_calls; ///< in-flight grants of all ranges
    std::uint64_t next_call = 1;
    std::optional<monotonic_time> free_since; ///< since when keys wait for placement
    monotonic_time former_leases_end{};
    monotonic_time next_plan{};
    monotonic_time next_balance{};
};

} // namespace figreach::direct
