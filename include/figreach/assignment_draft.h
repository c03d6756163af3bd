#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "figreach/description.h"
#include "figreach/partition.h"
#include "figreach/slice_loads.h"

namespace figreach {

/// Load of one backend server in a draft. Loads and widths are shares of the partition's total; a
/// moving slice counts for its next owner.
struct draft_server {
    backend_server_id name;
    failure_domain_id failure_domain;
    double capacity = 0.0; ///< relative to other servers; 0 if it may receive nothing
    double load = 0.0;
    double width = 0.0;
    std::size_t slices = 0; ///< owned by the server or moving to it
};

/// Share of one slice in the partition's load and hash space.
struct draft_slice {
    double load = 0.0;
    double width = 0.0;
    bool measured = false;   ///< the load was reported for exactly this slice
    bool settled = false;    ///< measured, or unchanged since the start: not an estimate
    bool single_key = false; ///< one key causes nearly all load, so that a split does not help
};

/// A working copy of a partition document that tracks the loads resulting from its changes.
class assignment_draft {
public:
    /// `servers` has the order of the document's backend_servers.
    assignment_draft(partition document, std::vector<draft_server> servers,
                     const std::vector<slice_estimate>& estimates);

    [[nodiscard]] const partition& document() const { return this->draft; }
    [[nodiscard]] const std::vector<draft_server>& servers() const { return this->server_list; }
    [[nodiscard]] const draft_slice& shares(std::size_t index) const
    {
        return this->slice_shares[index];
    }
    /// Returns the owner, or the next owner of a moving slice.
    [[nodiscard]] std::uint32_t destination(std::size_t index) const;

    [[nodiscard]] bool has_capacity() const { return this->total_capacity > 0.0; }
    [[nodiscard]] bool may_receive(std::uint32_t server) const;
    /// Returns the server's share of the load in proportion to its capacity.
    [[nodiscard]] double fair_load(std::uint32_t server) const;
    /// Returns the ratio of load to fair load.
    [[nodiscard]] double relative_load(std::uint32_t server) const;
    /// Return the servers with the highest and the lowest relative load among those that may
    /// receive slices.
    [[nodiscard]] std::optional<std::uint32_t> most_loaded() const;
    [[nodiscard]] std::optional<std::uint32_t> least_loaded() const;
    /// Returns the server with the lowest relative load after it takes `load`. Among nearly equal
    /// servers, prefers the one whose failure domain is least loaded.
    [[nodiscard]] std::optional<std::uint32_t> best_target(double load) const;

    void move(std::size_t index, std::uint32_t server);
    /// Splits the slice so that its second part begins at `at`, which lies inside the slice. The
    /// load is divided in proportion to width.
    void split(std::size_t index, key_hash at);
    /// Merges the slice with its successor. Both must have the same owner and fence and be at rest.
    void merge_with_next(std::size_t index);
    void set_pinned(std::size_t index, bool pinned);
    /// Removes a server that neither owns nor receives a slice. The indices of later servers
    /// decrease by one.
    void remove_server(std::uint32_t server);

private:
    void add_share(std::size_t index, std::uint32_t server, double sign);

    partition draft;
    std::vector<draft_server> server_list;
    std::vector<draft_slice> slice_shares;
    std::map<failure_domain_id, draft_server> domain_totals; ///< only capacity and load are used
    double total_capacity = 0.0;
};

} // namespace figreach
