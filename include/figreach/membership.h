#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "figreach/control.h"
#include "figreach/gossip_selector.h"
#include "figreach/peer_message.h"
#include "figreach/time.h"

namespace figreach {

/// Timing and gossip limits of the failure detector.
struct membership_settings {
    milliseconds probe_interval{200}; ///< one member is probed per interval
    milliseconds probe_timeout{80};   ///< direct probe; indirect ones get twice as long
    /// Time from suspect to dead in a fleet of up to a dozen hosts; grows with log2 of the fleet
    /// beyond that. A suspicion raised by another host lasts half as long again.
    milliseconds suspicion_timeout{300};
    milliseconds heal_interval{1000}; ///< one unreachable seed or dead host is probed per interval
    /// Upper bound of the backoff between two requests for all host states in a small fleet.
    milliseconds sync_interval{10000};
    /// The bound grows by one sync_interval for each group of this many hosts, so that the total
    /// rate of requests stays bounded.
    std::int64_t hosts_per_sync_interval = 40;
    milliseconds pause_tolerance{500};  ///< a longer gap between ticks is taken as a local pause
    std::chrono::hours forget_after{2}; ///< retention of dead hosts
    /// Number of hosts asked for an indirect probe, or notified of a death.
    std::uint32_t indirect_probes = 3;
    std::uint32_t retransmit_factor = 3; ///< multiplied by log2 of the fleet: sends per change
    /// A host sends its own unchanged state in every n-th message.
    std::uint64_t messages_per_own_state = 8;
    std::size_t max_hosts = 6; ///< changed states of other hosts in one message
    /// In a fleet of up to this size, a new description version of a host is propagated like a
    /// change of its state; in a larger fleet only the host itself reports it.
    std::size_t max_hosts_with_versions = 64;
    gossip_selector_settings selector;
};

/// Gossip-based membership and failure detection among entry hosts (SWIM). Each host probes one
/// random member per interval, requests indirect probes of a member that does not answer, suspects
/// it and declares it dead unless it refutes the suspicion with a higher incarnation. The result is
/// a hint: no safety property depends on it. A probe whose target is its sender requests all host
/// states (a sync).
///
/// The `local` gossip passed in holds the versions and coordinator hints of this host; its list of
/// hosts is not used.
class membership {
public:
    membership(host_identity self, membership_settings settings);

    /// Advances timers and returns the messages that are due.
    [[nodiscard]] std::vector<send_to_host> on_tick(const gossip& local, monotonic_time now);
    /// Processes a message from a peer and returns the messages to send in response. Bodies other
    /// than probes and probe answers are ignored.
    [[nodiscard]] std::vector<send_to_host> on_message(const peer_message& message,
                                                       const gossip& local, monotonic_time now);

    /// Hosts believed to be alive, including suspects but not leaving hosts, ordered by name.
    /// Contains this host unless it is leaving.
    [[nodiscard]] std::vector<host_state> live_hosts(monotonic_time now) const;

    /// All known hosts in any state, this host first.
    [[nodiscard]] std::vector<host_state> known_hosts() const;

    /// Merges host states from an external list, such as the platform's, without propagating them.
    void add_known_hosts(const std::vector<host_state>& listed, monotonic_time now);

    /// Announces from now on that this host is leaving. It still answers probes.
    void leave();

private:
    /// Another host and the gossip state kept for it.
    struct member {
        host_state state;
        monotonic_time changed_at{};
        std::uint32_t sends_left = 0;   ///< messages that still carry the latest change
        bool suspected_locally = false; ///< the suspicion was raised by this host
        monotonic_time next_probe{};    ///< next request for a refutation while suspected locally
    };

    /// A probe that was not answered yet.
    struct pending_probe {
        host_id target;
        monotonic_time sent_at{};
        bool indirect = false; ///< indirect probes were requested
    };

    /// A probe sent on behalf of another host.
    struct relayed_probe {
        std::string requester_address;
        std::uint64_t sequence = 0;
        monotonic_time sent_at{};
    };

    /// Whether a learned state is propagated to other hosts by gossip.
    enum class propagation : std::uint8_t { no, yes };

    using messages = std::vector<send_to_host>;

    /// Discards pending probes and restarts suspicion timers after a pause of this process.
    void detect_pause(monotonic_time now);
    void expire_probes(const gossip& local, monotonic_time now, messages& out);
    void request_indirect_probes(std::uint64_t probe_sequence, const pending_probe& silent,
                                 const gossip& local, messages& out);
    /// Picks at most `indirect_probes` random alive hosts other than `excluded`.
    [[nodiscard]] std::vector<host_id> random_live_hosts(const host_id& excluded);
    void suspect(const host_id& name, monotonic_time now);
    void expire_suspicions(const gossip& local, monotonic_time now, messages& out);
    /// Notifies a few random hosts of a death immediately instead of with the next regular probes.
    void announce_deaths(const gossip& local, messages& out);
    /// Probes a suspect again, so that it learns of the suspicion and can refute it.
    void ask_for_refutation(const host_id& name, const gossip& local, monotonic_time now,
                            messages& out);
    void forget_dead(monotonic_time now);
    void probe_next(const gossip& local, monotonic_time now, messages& out);
    /// Probes one unreachable address to merge a split fleet, and requests a sync when one is due.
    void heal(const gossip& local, monotonic_time now, messages& out);
    void send_probe(const std::string& address, const host_id& target, const gossip& local,
                    monotonic_time now, messages& out);
    void send_heal_probe(const std::string& address, bool sync, const gossip& local,
                         monotonic_time now, messages& out);
    [[nodiscard]] std::string sync_address(monotonic_time now);
    [[nodiscard]] bool sync_is_due(monotonic_time now) const;
    [[nodiscard]] milliseconds max_sync_backoff() const;
    /// Addresses of dead hosts, and of seeds at which no live host is known.
    [[nodiscard]] std::vector<std::string> unreachable_addresses() const;

    void on_probe(const host_id& sender, const probe& received, const gossip& local,
                  monotonic_time now, messages& out);
    void on_probe_answer(const probe_answer& received, const gossip& local, messages& out);
    /// Sends an indirect probe on behalf of the sender.
    void relay(const host_id& sender, const probe& received, const gossip& local,
               monotonic_time now, messages& out);
    /// Merges a received state; an outdated one changes nothing. A wrong state of this host is
    /// refuted.
    void learn(const host_state& state, monotonic_time now,
               propagation propagate = propagation::yes);
    /// Raises the own incarnation if a state of this host has a higher one, or says suspect or
    /// dead under the current one.
    void refute(const host_state& state);
    /// Schedules the latest change of a member for `retransmit_factor` * log2(fleet) sends.
    void queue_broadcast(member& updated);

    /// The gossip for one message: a selection of `local`, the own state when due, and changes.
    [[nodiscard]] gossip compose_gossip(const gossip& local, const host_id& receiver);
    /// Whether the next message carries this host's own state. Counts the message.
    [[nodiscard]] bool own_state_is_due(const gossip& local);
    /// The answer to a sync: the states of all known hosts.
    [[nodiscard]] gossip compose_full_gossip(const gossip& local);
    void add_changes(gossip& out, const host_id& receiver);
    [[nodiscard]] host_state own_state(const gossip& local) const;
    [[nodiscard]] const member* find(const host_id& name) const;
    [[nodiscard]] bool is_live(const host_id& name) const;
    [[nodiscard]] std::string address_of(const host_id& name) const;
    /// Number of bits of the fleet size, that is floor(log2(size)) + 1.
    [[nodiscard]] std::uint32_t fleet_size_log2() const;
    [[nodiscard]] std::size_t random_below(std::size_t bound);

    host_identity self;
    membership_settings settings;
    bool leaving = false;
    std::mt19937_64 random;
    std::map<host_id, member> members; ///< all known hosts except this one
    std::set<host_id> suspects;
    std::set<host_id> dead;
    std::set<host_id> changed; ///< members whose latest change has sends left
    std::vector<host_id> probe_order;
    std::map<std::uint64_t, pending_probe> pending;
    std::map<std::uint64_t, relayed_probe> relayed;
    gossip_selector selector;
    std::optional<monotonic_time> last_tick;
    monotonic_time next_probe{};
    monotonic_time next_heal{};
    std::optional<monotonic_time> last_sync;
    std::uint64_t sync_sequence = 0;
    milliseconds sync_backoff; ///< minimum delay between syncs; doubles with each one
    bool sync_wanted = false;  ///< a host that was dead has returned
    bool synced_once = false;
    std::uint64_t description_version = 0;
    host_state last_sent_state; ///< own state in the latest composed message
    std::uint32_t own_state_sends_left = 0;
    std::uint64_t messages_composed = 0;
    std::uint64_t sequence = 0;
};

} // namespace figreach
