#pragma once

#include <compare>
#include <cstdint>

namespace figreach::direct {

/// Counts how often the store came back from an older copy of itself. 0 if the store does not say.
enum class store_era : std::uint64_t {};

/// Number of a revision within its era. Not ordered: numbers are given out again in a later era.
struct revision_number {
    std::int64_t value = 0;

    friend bool operator==(const revision_number&, const revision_number&) = default;
};

/// A revision of the store or of one of its items. All revisions of an era are later than those of
/// earlier eras. A default revision is earlier than all others.
class store_revision {
public:
    constexpr store_revision() = default;
    constexpr store_revision(store_era era, std::int64_t number) : in{era}, at{number} {}

    [[nodiscard]] constexpr store_era era() const { return this->in; }
    [[nodiscard]] constexpr revision_number number() const { return {this->at}; }

    friend auto operator<=>(const store_revision&, const store_revision&) = default;

private:
    store_era in{};
    std::int64_t at = 0;
};

} // namespace figreach::direct
