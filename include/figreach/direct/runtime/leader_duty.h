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
#include "figreach/direct/service_time_estimator.h"

namespace figreach::direct {

/// Strives to lead, and gives the orders about keys while it does. The store's lease makes one
/// host the leader; each write of a table is made under the condition that its term still runs.
class leader_duty {
public:
    /// `state` outlives the duty.
    explicit leader_duty(host_context& state);

    void start();
    /// Gives no further order, waits for those under way and gives the lead up.
    boost::asio::awaitable<void> resign();

    [[nodiscard]] bool leads() const;
    /// Goes on with the term of a leader that has stopped. False: not taken.
    bool accept(const leadership_transfer& offer);
    /// Another host leads in a term: this one gives no orders of an earlier one any more.
    void note_term(std::uint64_t term);
    /// The host to which this one handed its term; empty: none.
    [[nodiscard]] const std::optional<leader_hint>& successor() const;
    /// Requests for a key that this or another host has seen; counts while this host leads.
    void note_load(const service_id& service, std::uint32_t key, double requests);
    /// Another host asks this one for changes, so that it gives no orders itself.
    void note_follower(const host_id& host);
    void note_paces(const std::vector<service_time_sample>& paces);

private:
    struct kept_service {
        key_grant_manager keeper;
        observed_loads loads;
        service_time_estimator work;
        std::int64_t revision = 0; ///< of the table in the store
    };
    struct tenure {
        std::uint64_t number = 0;
        std::int64_t lease = 0;
        std::int64_t term_revision = 0;
        monotonic_time authority_until{};   ///< no order after it
        monotonic_time former_orders_end{}; ///< see key_grant_manager
        grant_manager_settings keeping;
        milliseconds former_hold{0}; ///< longest grant of an earlier leader
        std::map<service_id, kept_service> services;
        std::uint32_t open_calls = 0;
        std::set<host_id> followers; ///< asked this host during the tenure
        /// May give orders of an earlier term; nothing: not known.
        std::optional<std::vector<host_id>> former_hosts;
        bool former_known = false; ///< no other host can give orders of an earlier term
    };

    boost::asio::awaitable<void> run();
    boost::asio::awaitable<void> stand();
    boost::asio::awaitable<void> hold_office(std::shared_ptr<tenure> own);
    boost::asio::awaitable<std::shared_ptr<tenure>> take_over();
    boost::asio::awaitable<void> lead(std::shared_ptr<tenure> own);
    boost::asio::awaitable<void> keep_lease(std::shared_ptr<tenure> own);
    boost::asio::awaitable<void> tell_former_leader(std::shared_ptr<tenure> own, host_id former);
    boost::asio::awaitable<void> open_service(std::shared_ptr<tenure> own, service_id service);
    void tick(const std::shared_ptr<tenure>& own);
    [[nodiscard]] static kept_service keep(key_grant_manager keeper, std::int64_t revision);
    [[nodiscard]] std::vector<key_server> servers_of(const service_id& service,
                                                     const service_time_estimator& work) const;
    void carry_out(const std::shared_ptr<tenure>& own, const service_id& service,
                   const send_order& action);
    void carry_out(const std::shared_ptr<tenure>& own, const service_id& service,
                   const write_table& action);
    boost::asio::awaitable<void> order(std::shared_ptr<tenure> own, service_id service,
                                       send_order what, monotonic_time deadline);
    boost::asio::awaitable<void> write(std::shared_ptr<tenure> own, service_id service,
                                       key_table draft);
    boost::asio::awaitable<void> grants_ended();
    boost::asio::awaitable<void> tell_end(std::shared_ptr<tenure> own);
    boost::asio::awaitable<bool> hand_over(std::shared_ptr<tenure> own);
    [[nodiscard]] leadership_transfer offer_of(const tenure& own) const;
    [[nodiscard]] milliseconds standing_delay() const;
    [[nodiscard]] std::optional<std::vector<host_id>> hosts_before(const leader_term& former) const;
    [[nodiscard]] monotonic_time end_of_former_orders(const leader_term& former,
                                                      monotonic_time now) const;
    [[nodiscard]] grant_manager_settings settings_now() const;
    void step_down(const std::shared_ptr<tenure>& own, const char* reason);
    void settle_former_orders(tenure& own, monotonic_time now);

    host_context& state;
    http_client orders;
    std::shared_ptr<tenure> present;  ///< null: does not lead
    std::shared_ptr<tenure> accepted; ///< a term that another host has handed over
    std::optional<leader_hint> handed_to;
    bool resigning = false;
};

/// The steady clock plus the time for which the machine was suspended, so that an authority also
/// runs out meanwhile.
[[nodiscard]] monotonic_time time_with_suspension();

} // namespace figreach::direct
