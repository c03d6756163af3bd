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
    milliseconds hold{2800};          ///< of a grant; docs/platform.md has the sum
    milliseconds renew_interval{600}; ///< a leader's loss takes less than hold - renew_interval
    milliseconds large_fleet_renew_interval{1200}; ///< halves the renewals; hold grows by as much
    std::size_t large_fleet = 40;                  ///< entry hosts
    milliseconds retry_interval{150};              ///< after an order without an answer
    milliseconds avoid_unresponsive{2000}; ///< for which a server that does not answer gets no keys
    milliseconds order_timeout{350};       ///< a few round trips to a busy server
    milliseconds release_timeout{2500};    ///< the server answers when its work has ended
    milliseconds margin{150};              ///< for delays of an order and of a timer
    std::uint32_t clock_drift_percent = 2; ///< a server's clock may run this much slow
    std::uint32_t unresponsive_after = 2;  ///< grants without an answer, after which keys move away
    milliseconds placement_delay{60};      ///< keys that become free are placed together
    milliseconds rebalance_interval{500};  ///< between looks at the balance
    key_plan_settings plan;
};

/// Settings for a fleet with this many entry hosts. A large one has many servers and ranges, whose
/// renewals would take all processor time of the leader, so that they are longer and rarer there.
[[nodiscard]] grant_manager_settings for_fleet(grant_manager_settings settings, std::size_t hosts,
                                               milliseconds max_hold);

/// How the requests of a service are spread over its keys, seen over two lengths of time.
struct observed_loads {
    key_loads recent; ///< shows a hot key at once
    key_loads usual;  ///< shows small differences
};

/// An order to send.
struct send_order {
    std::uint64_t call = 0; ///< to be named with the answer
    backend_server_id server;
    std::string address;
    key_order order;
    milliseconds timeout{0};
};

/// A new table to write, under the condition that the present one is still in the store.
struct write_table {
    key_table table;
};

using grant_manager_action = std::variant<send_order, write_table>;
using grant_manager_actions = std::vector<grant_manager_action>;

/// Grants the keys of one service, renews the grants and moves keys, at the leading host. A move
/// takes three steps, each only after the one before is known to have taken effect:
/// 1. the table says that the range moves, under a new fence;
/// 2. the owner gets a grant with that fence, so that it refuses all earlier ones that may still
///    be on their way, and then a release; or every grant that it may have has run out;
/// 3. the table names the new owner, under a further fence.
class key_grant_manager {
public:
    /// `former_orders_end`: when the last grant of an earlier leader has run out at the latest.
    key_grant_manager(grant_manager_settings settings, key_table present,
                      monotonic_time former_orders_end, monotonic_time now);

    /// Returns what is due. `servers` are those of the service in order of their ids, also ones
    /// that end.
    [[nodiscard]] grant_manager_actions on_tick(const std::vector<key_server>& servers,
                                                const observed_loads& loads, monotonic_time now);
    /// Grants of earlier leaders have run out at this time for certain.
    void limit_former_orders(monotonic_time end);
    void on_answer(std::uint64_t call, const order_answer& answer, monotonic_time now);
    /// The table of the last write_table is in the store.
    void on_written(monotonic_time now);
    /// The last write_table certainly did not take effect and never will.
    void on_not_written();

    [[nodiscard]] const key_table& table() const;
    [[nodiscard]] bool writing() const;

private:
    struct range_state {
        /// Latest time at which the owner may hold the keys, but for a grant that is under way.
        monotonic_time held_until{};
        /// The same for grants of earlier leaders that the owner may still have or get.
        monotonic_time former_until{};
        monotonic_time next_order{};
        std::optional<std::uint64_t> call;
        std::set<std::uint64_t>
            in_flight_grants;     ///< grants that left before the present fence was written
        bool granted = false;     ///< the owner acknowledged the fence
        bool released = false;    ///< the owner has given the keys up, or has ended
        bool needs_fence = false; ///< the present fence may be too low, or not be the last
        std::string handover;     ///< token that came with the release

        [[nodiscard]] monotonic_time latest_hold_end() const
        {
            return std::max(this->held_until, this->former_until);
        }
    };
    struct server_state {
        bool grant_open = false;    ///< a grant is under way: the next one waits for its answer
        std::uint32_t failures = 0; ///< orders in a row without an answer
        monotonic_time next_try{};
        monotonic_time avoid_until{};
    };
    struct pending_call {
        backend_server_id server;
        std::uint64_t lifetime = 0; ///< of the server
        std::uint32_t first = 0;
        std::uint64_t fence = 0;
        milliseconds hold{0}; ///< of a grant; zero for a release
    };

    void finish_in_flight(std::uint64_t call, const pending_call& open, order_outcome outcome,
                          monotonic_time now);
    void send_due_order(const key_range& range, range_state& state, const key_server* owner,
                        grant_manager_actions& out, monotonic_time now);
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
    [[nodiscard]] bool is_replaced(const backend_server_id& id, std::uint64_t lifetime) const;
    [[nodiscard]] bool has_ended(const key_range& range, const key_server* owner) const;
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
    void drop_used_tokens(key_table& draft) const;
    void move_from_unavailable(key_table& draft, const std::vector<key_server>& servers) const;
    void balance(key_table& draft, const std::vector<key_server>& servers,
                 const observed_loads& loads, monotonic_time now);
    [[nodiscard]] range_state carry_over_state(const key_range& range, monotonic_time now) const;

    grant_manager_settings settings;
    key_table present;
    std::optional<key_table> pending_write;      ///< under way to the store
    std::map<std::uint32_t, range_state> states; ///< by first key
    std::map<backend_server_id, server_state> server_states;
    /// Lifetimes of servers at whose address another one answered.
    std::map<backend_server_id, std::uint64_t> replaced;
    std::map<std::uint64_t, pending_call> calls;
    std::set<std::uint64_t> in_flight_calls; ///< of all ranges
    std::uint64_t next_call = 1;
    std::optional<monotonic_time> free_since; ///< first of the keys that wait to be placed
    monotonic_time next_balance{};
};

} // namespace figreach::direct
