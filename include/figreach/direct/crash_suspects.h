#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string_view>
#include <vector>

#include "figreach/direct/crash_report.h"
#include "figreach/direct/request_digest.h"
#include "figreach/ids.h"
#include "figreach/time.h"

namespace figreach::direct {

/// Most requests in the store's record of those that crash servers.
inline constexpr std::size_t max_recorded_requests = 64;

struct crash_suspects_settings {
    std::size_t suspect_losses = 2; ///< from which a request is suspected
    /// From which it is held, unless others that were lost with all the same servers may be the
    /// cause as well.
    std::size_t held_losses = 3;
    milliseconds first_hold{60'000};
    std::int64_t hold_growth = 4; ///< factor for each further loss
    milliseconds max_hold{600'000};
    /// Losses of requests that were under way together count once within this time, at one host or
    /// in one failure domain.
    milliseconds same_moment{300};
    /// Ages of reports leave out the time on the way. A sign of life counts as later than a loss
    /// only by more than this.
    milliseconds report_delay{300};
    /// The first reports after a loss may have been on their way.
    std::uint32_t reports_alive = 3;
    milliseconds memory{600'000};        ///< after the last loss, or after the hold
    milliseconds cleared_memory{30'000}; ///< for which a clearance is told to others
    milliseconds prune_interval{1'000};
    std::size_t max_digests = 4096;
    std::size_t max_losses = 8;    ///< of one digest; the newest are kept
    std::size_t max_reports = 512; ///< in one call
};

/// What to do with a request.
enum class crash_level : std::uint8_t {
    none,      ///< send as usual
    suspected, ///< send by one host only, alone and once
    trial,     ///< as suspected; the hold has ended
    held,      ///< refuse
};

/// What service discovery says about a backend server.
struct discovered_server {
    std::uint64_t lifetime = 0;
    std::uint64_t report = 0;
    std::optional<monotonic_time> answered_at; ///< its latest load report from any host
};

/// A lost send, as seen by the host that sent.
struct lost_send {
    request_digest digest;
    server_lifetime server;
    failure_domain_id failure_domain;
    host_id sender;
    monotonic_time sent_at{};
};

/// A change of level, for the log.
struct crash_level_change {
    request_digest digest;
    crash_level from = crash_level::none;
    crash_level to = crash_level::none;
    std::vector<reported_loss> losses; ///< those that count
};

/// Finds requests that crash the backend servers that run them, from the sends of this host and
/// reports of others. The state is a join: reports may be merged in any order and more than once.
class crash_suspects {
public:
    using discovery =
        std::function<std::optional<discovered_server>(const backend_server_id& server)>;

    explicit crash_suspects(crash_suspects_settings settings);

    /// Records that the server's side ended the connection of a send.
    void on_lost(const lost_send& lost, monotonic_time now);
    /// Records a final answer below 500, which clears the request.
    void on_answered(const request_digest& digest, monotonic_time now);
    /// Records that a server answered any request.
    void on_alive(const server_lifetime& server, monotonic_time at);
    /// Looks for signs of life of servers and forgets what is old.
    void on_tick(const discovery& find, monotonic_time now);

    [[nodiscard]] crash_level level(const request_digest& digest, monotonic_time now) const;
    /// Number of losses that count.
    [[nodiscard]] std::size_t count(const request_digest& digest) const;

    /// Begins to send a suspected request to a server, alone. Returns false if it is being sent
    /// already, if another one is being sent to the server, or if the request is held.
    [[nodiscard]] bool try_start(const request_digest& digest, const backend_server_id& server,
                                 monotonic_time now);
    /// Ends what try_start() began. A trial that was not sent does not count.
    void finish(const request_digest& digest, bool sent);

    void merge(const crash_report& report, monotonic_time now);
    /// Takes over what the store holds. It may be out of date: it does not replace what this host
    /// has seen or hosts have reported, and any clearance removes it. Its ages are those of the
    /// write, so that holds may last longer, but do not end early.
    void restore(const std::vector<crash_report>& reports, monotonic_time now);
    /// Drops what restore() added and the leader, which has read the store as well, no longer
    /// reports.
    void keep_restored(const std::vector<crash_report>& reported, monotonic_time now);
    /// What the store should hold: suspected and held requests, those with the most losses first,
    /// with the losses that are not refuted.
    [[nodiscard]] std::vector<crash_report> record(monotonic_time now) const;
    /// What all hosts need to know: requests with enough losses to be suspected, and which of them
    /// were cleared lately.
    [[nodiscard]] std::vector<crash_report> reports(monotonic_time now) const;
    /// What this host itself has seen and not told yet.
    [[nodiscard]] std::vector<crash_report> take_own_reports(monotonic_time now);
    /// Tells again what this host has seen, and what is held: the leader is another one, or a call
    /// failed.
    void tell_again();

    /// Changes of level since the last call.
    [[nodiscard]] std::vector<crash_level_change> take_changes();
    [[nodiscard]] std::size_t size() const;
    /// Number of requests with this level at their last change or tick.
    [[nodiscard]] std::size_t count_at(crash_level level) const;

private:
    struct loss {
        monotonic_time at{};
        monotonic_time sent_at{};
        failure_domain_id failure_domain;
        host_id sender;
        bool stored = false; ///< read from the store, not seen or reported by a host
    };
    struct suspect {
        std::map<server_lifetime, loss> losses;
        std::optional<monotonic_time> cleared_at;
        std::optional<monotonic_time> trial_at;
        std::set<server_lifetime> untold; ///< losses to be told to the leader
        std::set<server_lifetime> own;    ///< losses seen by this host
        bool cleared_here = false;
        bool clearance_untold = false;
        bool shared = false;     ///< it had enough losses to be told to all hosts
        std::size_t counted = 0; ///< losses that count
        std::vector<server_lifetime> counted_servers;
        std::vector<server_lifetime> indexed; ///< servers at which this request is listed
        monotonic_time last_at{};             ///< the latest of them, or else the latest event
        crash_level logged = crash_level::none;
    };
    struct life {
        std::optional<monotonic_time> alive_at;
        std::optional<std::uint64_t> report;
        std::uint32_t reports = 0; ///< that came after the first loss
        /// Suspected requests that were lost with the server, and how many losses they have.
        std::map<request_digest, std::size_t> suspects;
    };
    using suspects = std::map<request_digest, suspect>;

    void add(suspect& known, const server_lifetime& server, loss added) const;
    void clear(suspect& known, monotonic_time at) const;
    void mark_alive(const server_lifetime& server, monotonic_time at);
    void recount(const request_digest& digest, suspect& known, monotonic_time now);
    void recount_all(monotonic_time now);
    void evict();
    void prune(monotonic_time now);
    [[nodiscard]] bool is_refuted(const server_lifetime& server, const loss& one) const;
    [[nodiscard]] std::vector<server_lifetime> counted_losses(const suspect& known) const;
    [[nodiscard]] milliseconds hold_time(std::size_t losses) const;
    [[nodiscard]] monotonic_time held_until(const suspect& known) const;
    [[nodiscard]] crash_level level_of(const request_digest& digest, const suspect& known,
                                       monotonic_time now) const;
    [[nodiscard]] bool is_explained(const request_digest& digest, const suspect& known) const;
    void index(const request_digest& digest, suspect& known);
    void remove_from_index(const request_digest& digest, suspect& known);
    [[nodiscard]] monotonic_time forget_at(const suspect& known) const;
    [[nodiscard]] reported_loss report_of(const server_lifetime& server, const loss& one,
                                          monotonic_time now) const;

    crash_suspects_settings settings;
    suspects known;
    std::map<server_lifetime, life> lives;               ///< of the servers of all losses
    std::map<request_digest, backend_server_id> running; ///< suspects being sent by this host
    std::vector<crash_level_change> changes;
    monotonic_time next_prune{};
};

[[nodiscard]] std::string_view name_of(crash_level level);

} // namespace figreach::direct
