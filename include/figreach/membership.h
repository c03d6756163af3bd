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

struct membership_settings {
    milliseconds probe_interval{200};    ///< one member is probed in each
    milliseconds probe_timeout{80};      ///< of a direct probe, then of the indirect ones
    milliseconds suspicion_timeout{300}; ///< from suspect to dead, at a fleet of a dozen hosts
    milliseconds heal_interval{1000};    ///< one lost seed or dead host is probed in each
    milliseconds sync_interval{10000};   ///< least time between two requests for all host states
    /// One request for all host states goes out in a sync_interval for each so many hosts.
    std::int64_t hosts_per_sync_interval = 40;
    milliseconds pause_tolerance{500};   ///< a longer time between ticks counts as own pause
    std::chrono::hours forget_after{2};  ///< dead hosts are kept for this long
    std::uint32_t indirect_probes = 3;   ///< hosts asked to probe a silent one, or told a death
    std::uint32_t retransmit_factor = 3; ///< times log2 of the fleet: sends of one change
    std::uint64_t messages_per_own_state = 8; ///< a host's own unchanged state goes into each
    std::size_t max_hosts = 6;                ///< host states in one message, own one not counted
    /// Up to this number of hosts, the description version in force at a host is passed on like a
    /// change of its state; in a larger fleet only the host itself tells it.
    std::size_t max_hosts_with_versions = 64;
    gossip_selector_settings selector;
};

/// Which entry hosts live, learned by probing: each host probes one random member in an interval,
/// asks others to probe a silent one, suspects it and declares it dead unless it refutes that with
/// a higher incarnation. A hint: no safety rests on it. A probe whose target is its sender asks
/// for all host states.
class membership {
public:
    membership(host_identity self, membership_settings settings);

    /// Probes that are due.
    [[nodiscard]] std::vector<send_to_host> on_tick(const gossip& local, monotonic_time now);
    /// Takes a message of a peer; answers probes.
    [[nodiscard]] std::vector<send_to_host> on_message(const peer_message& message,
                                                       const gossip& local, monotonic_time now);

    /// Hosts that live as far as is known, without those that leave, ordered by name. This host is
    /// among them unless it leaves.
    [[nodiscard]] std::vector<host_state> live_hosts(monotonic_time now) const;

    /// Every host that is known, in any state, this one first.
    [[nodiscard]] std::vector<host_state> known_hosts() const;

    /// Takes host states from a list, such as the platform's, without passing them on.
    void add_known_hosts(const std::vector<host_state>& listed, monotonic_time now);

    /// From now on this host tells that it leaves. It still answers.
    void leave();

private:
    struct member {
        host_state state;
        monotonic_time changed_at{};
        std::uint32_t sends_left = 0;   ///< of its latest change
        bool suspected_locally = false; ///< this host raised the suspicion
        monotonic_time next_probe{};    ///< of a host that is suspected here
    };

    /// A probe without an answer yet.
    struct pending_probe {
        host_id target;
        monotonic_time sent_at{};
        bool indirect = false; ///< others were asked
    };

    /// A probe made for another host.
    struct relayed_probe {
        std::string requester_address;
        std::uint64_t sequence = 0;
        monotonic_time sent_at{};
    };

    /// Whether a state that was learned goes into the gossip.
    enum class propagation : std::uint8_t { no, yes };

    using messages = std::vector<send_to_host>;

    void detect_pause(monotonic_time now);
    void expire_probes(const gossip& local, monotonic_time now, messages& out);
    void request_indirect_probes(std::uint64_t probe_sequence, const pending_probe& silent,
                                 const gossip& local, messages& out);
    /// As many as are asked for an indirect probe.
    [[nodiscard]] std::vector<host_id> random_live_hosts(const host_id& excluded);
    void suspect(const host_id& name, monotonic_time now);
    void expire_suspicions(const gossip& local, monotonic_time now, messages& out);
    /// Tells a death to some hosts at once, ahead of the usual probes.
    void announce_deaths(const gossip& local, messages& out);
    void ask_for_refutation(const host_id& name, const gossip& local, monotonic_time now,
                            messages& out);
    void forget_dead(monotonic_time now);
    void probe_next(const gossip& local, monotonic_time now, messages& out);
    void heal(const gossip& local, monotonic_time now, messages& out);
    void send_probe(const std::string& address, const host_id& target, const gossip& local,
                    monotonic_time now, messages& out);
    void send_heal_probe(const std::string& address, bool sync, const gossip& local,
                         monotonic_time now, messages& out);
    [[nodiscard]] std::string sync_address(monotonic_time now);
    [[nodiscard]] bool sync_is_due(monotonic_time now) const;
    [[nodiscard]] milliseconds max_sync_backoff() const;
    /// Addresses of dead hosts, and of seeds where no live host is known.
    [[nodiscard]] std::vector<std::string> unreachable_addresses() const;

    void on_probe(const host_id& sender, const probe& received, const gossip& local,
                  monotonic_time now, messages& out);
    void on_probe_answer(const probe_answer& received, const gossip& local, messages& out);
    void relay(const host_id& sender, const probe& received, const gossip& local,
               monotonic_time now, messages& out);
    void learn(const host_state& state, monotonic_time now,
               propagation propagate = propagation::yes);
    void refute(const host_state& state);
    void queue_broadcast(member& updated);

    [[nodiscard]] gossip compose_gossip(const gossip& local, const host_id& receiver);
    /// Whether the next message should carry this host's own state; counts the message.
    [[nodiscard]] bool own_state_is_due(const gossip& local);
    [[nodiscard]] gossip compose_full_gossip(const gossip& local);
    void add_changes(gossip& out, const host_id& receiver);
    [[nodiscard]] host_state own_state(const gossip& local) const;
    [[nodiscard]] const member* find(const host_id& name) const;
    [[nodiscard]] bool is_live(const host_id& name) const;
    [[nodiscard]] std::string address_of(const host_id& name) const;
    [[nodiscard]] std::uint32_t fleet_size_log2() const;
    [[nodiscard]] std::size_t random_below(std::size_t bound);

    host_identity self;
    membership_settings settings;
    bool leaving = false;
    std::mt19937_64 random;
    std::map<host_id, member> members; ///< all other hosts
    std::set<host_id> suspects;
    std::set<host_id> dead;
    std::set<host_id> changed; ///< members with sends left
    std::vector<host_id> probe_order;
    std::map<std::uint64_t, pending_probe> pending;
    std::map<std::uint64_t, relayed_probe> relayed;
    gossip_selector selector;
    std::optional<monotonic_time> last_tick;
    monotonic_time next_probe{};
    monotonic_time next_heal{};
    std::optional<monotonic_time> last_sync;
    std::uint64_t sync_sequence = 0;
    milliseconds sync_backoff; ///< until the next request for all states; grows after each
    bool sync_wanted = false;  ///< a host came back from the dead
    bool synced_once = false;
    std::uint64_t description_version = 0;
    host_state last_sent_state; ///< own state as it was told last
    std::uint32_t own_state_sends_left = 0;
    std::uint64_t messages_composed = 0;
    std::uint64_t sequence = 0;
};

} // namespace figreach
