#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "figreach/description.h"
#include "figreach/partition.h"
#include "figreach/slice_loads.h"

namespace figreach {

/// One backend server as a draft weighs it. Loads and widths are shares of the partition's total
/// and follow the next owner of a moving slice.
struct draft_server {
    backend_server_id name;
    failure_domain_id failure_domain;
    double capacity = 0.0; ///< relative; 0: may receive nothing
    double load = 0.0;
    double width = 0.0;
    std::size_t slices = 0; ///< owned or on the way here
};

/// Share of a slice in the partition's load and hash space.
struct draft_slice {
    double load = 0.0;
    double width = 0.0;
    bool measured = false;   ///< the load comes from reports on this very slice
    bool settled = false;    ///< measured, or unchanged since the start: the load is no guess
    bool single_key = false; ///< nearly all load is one key's: splitting is of no use
};

/// A partition document under change, with the loads that its changes lead to.
class assignment_draft {
public:
    /// `servers` are in the order of the document's list.
    assignment_draft(partition document, std::vector<draft_server> servers,
                     const std::vector<slice_estimate>& estimates);

    [[nodiscard]] const partition& document() const { return this->draft; }
    [[nodiscard]] const std::vector<draft_server>& servers() const { return this->server_list; }
    [[nodiscard]] const draft_slice& shares(std::size_t index) const
    {
        return this->slice_shares[index];
    }
    /// The owner, or the next owner of a moving slice.
    [[nodiscard]] std::uint32_t destination(std::size_t index) const;

    [[nodiscard]] bool has_capacity() const { return this->total_capacity > 0.0; }
    [[nodiscard]] bool may_receive(std::uint32_t server) const;
    /// Load that the server should have, by its capacity.
    [[nodiscard]] double fair_load(std::uint32_t server) const;
    /// Load over fair load.
    [[nodiscard]] double relative_load(std::uint32_t server) const;
    /// The servers that may receive slices with the highest and the lowest relative load.
    [[nodiscard]] std::optional<std::uint32_t> most_loaded() const;
    [[nodiscard]] std::optional<std::uint32_t> least_loaded() const;
    /// Where a load is best put: the server that is least full with it, and among near equals the
    /// one whose failure domain is least full.
    [[nodiscard]] std::optional<std::uint32_t> best_target(double load) const;

    void move(std::size_t index, std::uint32_t server);
    /// Splits before `at`, which lies inside the slice; the load divides by width.
    void split(std::size_t index, key_hash at);
    /// Merges the slice with the one after it. Both have the same owner and fence and do not move.
    void merge_with_next(std::size_t index);
    void set_pinned(std::size_t index, bool pinned);
    /// Removes a server that owns and receives nothing; later servers move down in the list.
    void remove_server(std::uint32_t server);

private:
    void add_share(std::size_t index, std::uint32_t server, double sign);

    partition draft;
    std::vector<draft_server> server_list;
    std::vector<draft_slice> slice_shares;
    std::map<failure_domain_id, draft_server> domain_totals; ///< sums by failure domain
    double total_capacity = 0.0;
};

} // namespace figreach
