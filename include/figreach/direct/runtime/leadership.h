#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

#include <boost/asio/awaitable.hpp>

#include "figreach/direct/follow.h"
#include "figreach/direct/key_grant_manager.h"
#include "figreach/direct/runtime/host_context.h"
#include "figreach/direct/runtime/http_client.h"
#include "figreach/direct/runtime/order_client.h"
#include "figreach/direct/service_time_estimator.h"
#include "figreach/direct/takeover.h"

namespace figreach::direct {

/// Campaigns for leadership and assigns keys to servers while this host leads. A lease in the store
/// elects the leader; every write of a key table is conditional on the leader's term being
/// current. A host that reaches no backend server while others do does not lead.
class leadership {
public:
    /// `state` must outlive this object.
    explicit leadership(host_context& state);

    void start();
    /// Stops sending orders, waits a limited time for pending ones and gives up leadership.
    boost::asio::awaitable<void> resign();

    [[nodiscard]] bool leads() const;
    /// The term in which this host leads; 0 if it does not.
    [[nodiscard]] std::uint64_t term() const;
    /// Whether its lease in the store still lasts, so that no other host has been elected.
    [[nodiscard]] bool holds_lease() const;
    /// Continues the term of a leader that has stopped. Returns false if the offer is rejected.
    bool accept_offer(const leadership_transfer& offer);
    /// Steps down from any earlier term because another host leads in `term`.
    void observe_term(std::uint64_t term);
    /// The host that took over this host's term, if any.
    [[nodiscard]] const std::optional<leader_hint>& successor() const;
    /// Adds requests for a key seen by any host. Ignored unless this host leads.
    void record_load(const service_id& service, std::uint32_t key, double requests);
    /// Records that `host` follows this leader and therefore sends no orders itself.
    void record_follower(const host_id& host);
    void record_service_times(const std::vector<service_time_sample>& samples);

private:
    struct service_state {
        key_grant_manager manager;
        observed_loads loads;
        service_time_estimator service_times;
        store_revision revision; ///< revision of the key table in the store
    };
    struct term_state {
        /// The lease was opened or renewed by a call sent at `sent_at`.
        void extend_lease(monotonic_time sent_at);

        std::uint64_t term = 0;
        store_lease lease;
        monotonic_time lease_until{}; ///< the lease lasts at least until then
        store_revision term_revision;
        monotonic_time authority_until{};   ///< no order is sent after this time
        monotonic_time former_orders_end{}; ///< see key_grant_manager
        grant_manager_settings manager_settings;
        milliseconds former_hold{0}; ///< maximum grant duration of earlier leaders
        std::map<service_id, service_state> services;
        monotonic_time next_crash_check{};
        std::uint32_t pending_calls = 0;
        std::set<host_id> followers; ///< hosts that polled this leader during the term
        /// Hosts that may still send orders of an earlier term; nullopt if unknown.
        std::optional<std::vector<host_id>> former_leaders;
        bool former_leaders_stopped = false; ///< no other host can send orders of an earlier term
    };

    boost::asio::awaitable<void> run();
    boost::asio::awaitable<void> campaign();
    boost::asio::awaitable<void> run_term(std::shared_ptr<term_state> own);
    boost::asio::awaitable<std::shared_ptr<term_state>> claim_term();
    boost::asio::awaitable<void> manage_keys(std::shared_ptr<term_state> own);
    boost::asio::awaitable<void> keep_lease(std::shared_ptr<term_state> own);
    boost::asio::awaitable<void> continue_in_new_era(std::shared_ptr<term_state> own);
    /// A transaction that claims a term.
    struct term_claim {
        std::uint64_t term = 0;
        store_transaction transaction;
    };
    boost::asio::awaitable<std::optional<term_claim>>
    make_new_era_claim(std::shared_ptr<term_state> own, store_lease lease);
    [[nodiscard]] leader_term make_term(std::uint64_t term, milliseconds hold) const;
    [[nodiscard]] bool is_own(const leader_term& term) const;
    /// Whether this process led in the term; false if only its claim took effect.
    [[nodiscard]] bool has_led(const leader_term& term) const;
    [[nodiscard]] bool is_of_earlier_era(const term_state& own) const;
    /// Upper bound of the time until which earlier leaders have a lease.
    [[nodiscard]] monotonic_time former_leases_end() const;
    boost::asio::awaitable<void> notify_former_leader(std::shared_ptr<term_state> own,
                                                      host_id former);
    boost::asio::awaitable<void> load_service(std::shared_ptr<term_state> own, service_id service);
    void tick(const std::shared_ptr<term_state>& own);
    [[nodiscard]] service_state make_service_state(key_grant_manager manager,
                                                   store_revision revision) const;
    [[nodiscard]] std::vector<key_server>
    key_servers_for(const service_id& service, const service_time_estimator& service_times) const;
    void execute(const std::shared_ptr<term_state>& own, const service_id& service,
                 const send_order& action);
    void execute(const std::shared_ptr<term_state>& own, const service_id& service,
                 const write_table& action);
    boost::asio::awaitable<void> perform_order(std::shared_ptr<term_state> own, service_id service,
                                               send_order action, monotonic_time deadline);
    boost::asio::awaitable<void> write_key_table(std::shared_ptr<term_state> own,
                                                 service_id service, key_table table);
    void record_crashes(const std::shared_ptr<term_state>& own);
    boost::asio::awaitable<void> write_crash_record(std::shared_ptr<term_state> own,
                                                    crash_record record);
    boost::asio::awaitable<void> wait_for_pending_grants();
    boost::asio::awaitable<void> give_up(std::shared_ptr<term_state> own, const char* reason);
    boost::asio::awaitable<void> record_resignation(std::shared_ptr<term_state> own);
    boost::asio::awaitable<bool> hand_over(std::shared_ptr<term_state> own);
    [[nodiscard]] leadership_transfer make_offer(const term_state& own) const;
    [[nodiscard]] milliseconds campaign_delay() const;
    [[nodiscard]] std::optional<std::vector<host_id>>
    possible_former_leaders(const leader_term& former) const;
    [[nodiscard]] grant_manager_settings current_settings() const;
    void step_down(const std::shared_ptr<term_state>& own, const char* reason);
    void update_former_orders_end(term_state& own, monotonic_time now);

    host_context& state;
    http_client control_calls;                 ///< to other hosts, and releases
    order_client grants;                       ///< grants of keys to backend servers
    std::shared_ptr<term_state> current_term;  ///< null if this host does not lead
    std::shared_ptr<term_state> accepted_term; ///< handed over by another host, not started
    std::optional<leader_hint> successor_hint;
    std::uint64_t handed_over_term = 0; ///< the latest one; another host may lead in it
    own_claims claims;
    /// Until when grants of leaders before this host's last term may last.
    monotonic_time earlier_orders_end{};
    bool resigning = false;
};

} // namespace figreach::direct
