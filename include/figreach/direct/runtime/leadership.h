#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

#include <boost/asio/awaitable.hpp>

#include "figreach/direct/follow.h"
#include "figreach/direct/key_keeper.h"
#include "figreach/direct/runtime/host_context.h"
#include "figreach/direct/runtime/http_client.h"
#include "figreach/direct/server_work.h"

namespace figreach::direct {

/// Strives to lead, and gives the orders about keys while it does. The store's lease makes one
/// host the leader; each write of a table is made under the condition that its term still runs.
class leadership {
public:
    /// `state` outlives the duty.
    explicit leadership(host_context& state);

    void start();
    /// Gives no further order, waits for those under way and gives the lead up.
    boost::asio::awaitable<void> resign();

    [[nodiscard]] bool leads() const;
    /// Goes on with the term of a leader that has stopped. False: not taken.
    bool accept_offer(const tenure_offer& offer);
    /// Another host leads in a term: this one gives no orders of an earlier one any more.
    void observe_term(std::uint64_t term);
    /// The host to which this one handed its term; empty: none.
    [[nodiscard]] const std::optional<leader_hint>& successor() const;
    /// Requests for a key that this or another host has seen; counts while this host leads.
    void record_load(const service_id& service, std::uint32_t key, double requests);
    /// Another host asks this one for changes, so that it gives no orders itself.
    void record_follower(const host_id& host);
    void record_paces(const std::vector<server_pace>& paces);

private:
    struct service_state {
        key_keeper keeper;
        seen_loads loads;
        server_work work;
        std::int64_t revision = 0; ///< of the table in the store
    };
    struct term_state {
        std::uint64_t term = 0;
        std::int64_t lease = 0;
        std::int64_t term_revision = 0;
        monotonic_time authority_until{};   ///< no order after it
        monotonic_time former_orders_end{}; ///< see key_keeper
        keeper_settings keeper_config;
        milliseconds former_hold{0}; ///< longest grant of an earlier leader
        std::map<service_id, service_state> services;
        std::uint32_t pending_calls = 0;
        std::set<host_id> followers; ///< asked this host during the tenure
        /// May give orders of an earlier term; nothing: not known.
        std::optional<std::vector<host_id>> former_leaders;
        bool former_leaders_stopped = false; ///< no other host can give orders of an earlier term
    };

    boost::asio::awaitable<void> run();
    boost::asio::awaitable<void> campaign();
    boost::asio::awaitable<void> run_term(std::shared_ptr<term_state> own);
    boost::asio::awaitable<std::shared_ptr<term_state>> claim_term();
    boost::asio::awaitable<void> manage_keys(std::shared_ptr<term_state> own);
    boost::asio::awaitable<void> keep_lease(std::shared_ptr<term_state> own);
    boost::asio::awaitable<void> notify_former_leader(std::shared_ptr<term_state> own,
                                                      host_id former);
    boost::asio::awaitable<void> load_service(std::shared_ptr<term_state> own, service_id service);
    void tick(const std::shared_ptr<term_state>& own);
    [[nodiscard]] static service_state make_service_state(key_keeper keeper, std::int64_t revision);
    [[nodiscard]] std::vector<key_server> key_servers_for(const service_id& service,
                                                          const server_work& work) const;
    void execute(const std::shared_ptr<term_state>& own, const service_id& service,
                 const send_order& action);
    void execute(const std::shared_ptr<term_state>& own, const service_id& service,
                 const write_table& action);
    boost::asio::awaitable<void> perform_order(std::shared_ptr<term_state> own, service_id service,
                                               send_order action, monotonic_time deadline);
    boost::asio::awaitable<void> write_key_table(std::shared_ptr<term_state> own,
                                                 service_id service, key_table table);
    boost::asio::awaitable<void> wait_for_pending_grants();
    boost::asio::awaitable<void> record_resignation(std::shared_ptr<term_state> own);
    boost::asio::awaitable<bool> hand_over(std::shared_ptr<term_state> own);
    [[nodiscard]] tenure_offer make_offer(const term_state& own) const;
    [[nodiscard]] milliseconds campaign_delay() const;
    [[nodiscard]] std::optional<std::vector<host_id>>
    possible_former_leaders(const leader_term& former) const;
    [[nodiscard]] monotonic_time compute_former_orders_end(const leader_term& former,
                                                           monotonic_time now) const;
    [[nodiscard]] keeper_settings current_settings() const;
    void step_down(const std::shared_ptr<term_state>& own, const char* reason);
    void update_former_orders_end(term_state& own, monotonic_time now);

    host_context& state;
    http_client order_client;
    std::shared_ptr<term_state> current_term;  ///< null: does not lead
    std::shared_ptr<term_state> accepted_term; ///< a term that another host has handed over
    std::optional<leader_hint> successor_hint;
    bool resigning = false;
};

/// The steady clock plus the time for which the machine was suspended, so that an authority also
/// runs out meanwhile.
[[nodiscard]] monotonic_time time_with_suspension();

} // namespace figreach::direct
