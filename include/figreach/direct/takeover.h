#pragma once

#include <cstdint>
#include <optional>

#include "figreach/direct/key_grant_manager.h"
#include "figreach/direct/store.h"
#include "figreach/direct/store_revision.h"
#include "figreach/direct/stored_records.h"
#include "figreach/time.h"

namespace figreach::direct {

/// While the store does not answer, a leader keeps renewing grants for this long after its lease
/// expired, so that store outages do not revoke keys. A successor waits this long if an owner does
/// not answer.
inline constexpr milliseconds outage_authority{9000};

/// The era of a store that has never come back from a copy.
inline constexpr store_era first_era{0};

/// Maximum time from the decision to grant keys for `hold` until the grant expires at the server.
[[nodiscard]] milliseconds max_order_duration(const grant_manager_settings& settings,
                                              milliseconds hold);

/// Returns the lowest number of a term or fence in an era. Numbers of an era are above those of all
/// earlier eras, also of those whose records the store has lost.
[[nodiscard]] std::uint64_t first_number_of(store_era era);

/// Returns the number of the term that follows all terms before, of which `latest` is the highest
/// known one.
[[nodiscard]] std::uint64_t next_term(std::uint64_t latest, store_era era);

/// What a host knows of earlier leaders when it takes over.
struct predecessor {
    leader_term stored;           ///< the latest term in the store
    std::uint64_t known_term = 0; ///< the highest term that this process has seen
    bool was_self = false;        ///< this process led in the stored term
    /// The latest term that this process has handed over to another host; 0 if none.
    std::uint64_t handed_over_term = 0;
};

/// What a process knows of its own claims of the lead.
struct own_claims {
    std::uint64_t led_term = 0; ///< the latest term in which this process led; 0 if none
    /// What the latest claim without an answer found in the store.
    std::optional<leader_term> replaced;
};

/// Returns the term of the leader before a claim. A term of this process in which it has not led
/// comes from an earlier claim that took effect without an answer.
[[nodiscard]] leader_term former_term(const leader_term& stored, bool is_own,
                                      const own_claims& claims);

/// Returns for how long grants of earlier leaders may last from the moment of a takeover.
[[nodiscard]] milliseconds former_orders_wait(const predecessor& former, store_era era,
                                              const grant_manager_settings& settings);

/// Whether a leader was the last one of an era of the store that is over: its lease lasted at least
/// until `lease_until`, and it saw the next era at `seen_at`.
[[nodiscard]] bool is_latest_of_era(monotonic_time lease_until, monotonic_time seen_at);

/// Returns a transaction that claims the term `next` under `lease`, provided that the items of the
/// leader and of the term still have the given revisions.
[[nodiscard]] store_transaction make_term_claim(const leader_term& next, const store_lease& lease,
                                                store_revision leader, store_revision term);

/// Returns the table that a leader goes on from. If the store has none, or one of an earlier era,
/// the present one may be lost, so that any server may hold any key: each range is marked as moving
/// and has no known owner.
[[nodiscard]] key_table adopt_table(const service_id& service, std::optional<key_table> stored,
                                    store_era era);

} // namespace figreach::direct
