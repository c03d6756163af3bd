#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "figreach/description.h"
#include "figreach/partition.h"
#include "figreach/peer_message.h"
#include "figreach/slice_loads.h"
#include "figreach/time.h"

namespace figreach {

class assignment_draft;

/// Builds the initial assignment of a partition, at version 1 and fence 1: slices of equal width,
/// distributed evenly over the backend servers that receive work. Has no slices if no server
/// receives work.
[[nodiscard]] partition first_assignment(const description& all, const partition_id& id,
                                         const std::vector<host_id>& validators,
                                         std::string writer);

struct assigner_settings {
    double max_imbalance = 1.25;        ///< tolerated relative load of a server
    milliseconds report_lifetime{5000}; ///< after which a reported server condition expires
    milliseconds churn_window{10000};
    double max_churn = 0.1;           ///< share of the hash space moved for load per window
    double target_imbalance = 1.1;    ///< balancing stops once no relative load exceeds this
    double min_relative_load = 0.5;   ///< emptier servers are filled, e.g. after a cold start
    double cold_capacity = 0.25;      ///< of a server's capacity while it is cold
    double slow_capacity = 0.5;       ///< of a server's capacity while it is slow or sheds load
    milliseconds settling_time{1500}; ///< from a change of a slice until reports cover it
    std::uint32_t split_parts = 16;   ///< number of slices a hot slice is split into
    double split_limit_factor = 4.0;  ///< times the described slices; no splits from there on
    double merge_limit_factor = 1.25; ///< times the described slices; cold ones merge above it
    double cold_load_factor = 0.25;   ///< times the mean slice load; the limit for a merged slice
    std::size_t max_moves = 64;       ///< maximum load moves in one plan
};

/// Plans changes of partition assignments. Plans depend only on the arguments and the reports
/// received. Several assigners of one partition cannot conflict, since a plan takes effect only by
/// compare-and-swap.
class assigner {
public:
    explicit assigner(assigner_settings settings);

    void on_report(const load_report& report, monotonic_time now);

    /// Returns the document with the next changes applied and version and writer unchanged. Returns
    /// nothing if no change is due or no server receives work; every key then keeps its owner.
    /// Slices that change owner are marked with moving_to; splits and merges preserve owner and
    /// fence. Servers new in the description are added; servers removed from it are removed once
    /// they own nothing.
    [[nodiscard]] std::optional<partition> plan(const partition& present, const description& all,
                                                monotonic_time now);

private:
    struct load_move {
        monotonic_time at{};
        double width = 0.0;
    };

    [[nodiscard]] slice_loads& loads_of(const partition_id& id);
    [[nodiscard]] assignment_draft make_draft(const partition& present, const description& all,
                                              const service& described, monotonic_time now);
    [[nodiscard]] double capacity_of(const partition_id& id, const description& all,
                                     const backend_server& server, monotonic_time now);
    [[nodiscard]] double remaining_churn(const partition_id& id, monotonic_time now);

    assigner_settings settings;
    std::map<partition_id, slice_loads> loads;
    std::map<partition_id, std::deque<load_move>> recent_moves;
};

/// Returns the host with the highest rendezvous weight for an item, or an empty name if `hosts` is
/// empty.
[[nodiscard]] host_id preferred_host(const std::string& item, const std::vector<host_id>& hosts);

} // namespace figreach
