#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "figreach/direct/store_revision.h"

namespace figreach::direct {

/// An item of the store.
struct store_item {
    std::string key;
    std::string value;
    store_revision revision; ///< number 0: absent
};

/// Identifies a lease. A lease of an earlier era no longer exists, even if its number does.
struct store_lease {
    store_era era{};
    std::int64_t id = 0;

    friend bool operator==(const store_lease&, const store_lease&) = default;
};

/// Items under a prefix and the store revision from which a watch continues.
struct store_snapshot {
    std::vector<store_item> items;
    store_revision revision;
};

struct store_change {
    store_item item; ///< has no value if removed
    bool removed = false;
    bool partial = false; ///< the value is a delta to the previous version
};

struct store_changes {
    std::vector<store_change> changes;
    store_revision revision;
    bool whole = false; ///< the changes are a full listing
};

/// Requires that the key has this revision, or does not exist if the revision's number is 0.
struct store_condition {
    std::string key;
    store_revision revision;
};

struct store_write {
    std::string key;
    std::string value;
    store_lease lease; ///< if its id is 0, the item persists after its writer ends
};

/// Takes effect completely or not at all.
struct store_transaction {
    store_era era{}; ///< the era of all that the transaction was derived from
    std::vector<store_condition> conditions;
    std::vector<store_write> writes;
    std::vector<std::string> removals;
};

/// How old a listing may be.
enum class listing_age : std::uint8_t {
    current,
    seconds_old, ///< cheaper, and not counted in the rate limit
};

enum class store_failure : std::uint8_t {
    unavailable,  ///< nothing was done
    throttled,    ///< nothing was done: the store's rate limit was exceeded
    silent,       ///< no answer; a write may take effect later
    malformed,    ///< malformed answer; a write may have taken effect
    history_gone, ///< a watch must restart from a snapshot
    conflict,     ///< a condition does not hold; nothing was done
    lease_gone,   ///< the lease has ended; nothing was done
    era_over,     ///< the store was restored from a copy; a write may have taken effect
};

[[nodiscard]] constexpr const char* name_of(store_failure failure)
{
    switch (failure) {
    case store_failure::unavailable:
        return "unavailable";
    case store_failure::throttled:
        return "throttled";
    case store_failure::silent:
        return "silent";
    case store_failure::malformed:
        return "malformed";
    case store_failure::history_gone:
        return "history_gone";
    case store_failure::conflict:
        return "conflict";
    case store_failure::lease_gone:
        return "lease_gone";
    case store_failure::era_over:
        return "era_over";
    }
    return "unknown";
}

/// Whether the write definitely did not take effect and never will.
[[nodiscard]] constexpr bool had_no_effect(store_failure failure)
{
    return failure != store_failure::silent && failure != store_failure::malformed &&
           failure != store_failure::era_over;
}

/// Whether the failure is a response of a working store.
[[nodiscard]] constexpr bool store_responded(store_failure failure)
{
    return failure != store_failure::unavailable && failure != store_failure::silent;
}

template <class Value>
using store_outcome = std::variant<Value, store_failure>;

} // namespace figreach::direct
