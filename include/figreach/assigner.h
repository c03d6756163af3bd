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

/// The first assignment of a partition: slices of equal width, spread evenly over the backend
/// servers that receive work. Version 1, fence 1. Empty of slices when no server receives work.
[[nodiscard]] partition first_assignment(const description& all, const partition_id& id,
                                         const std::vector<host_id>& validators,
                                         std::string writer);

struct assigner_settings {
    double max_imbalance = 1.25;        ///< busiest server over mean that is left alone
    milliseconds report_lifetime{5000}; ///< older load reports do not count
    milliseconds churn_window{10000};
    double max_churn = 0.1;        ///< share of the hash space moved for load in a window
    double target_imbalance = 1.1; ///< balancing goes on until no server is fuller than this
    double min_relative_load =
        0.5;                     ///< an emptier server is filled, for instance after a cold start
    double cold_capacity = 0.25; ///< of a server's capacity, while it is cold
    double slow_capacity = 0.5;  ///< of a server's capacity, while it is slow or sheds load
    milliseconds settling_time{1500}; ///< from a change of a slice to the reports that cover it
    std::uint32_t split_parts = 16;   ///< slices that a hot slice is split into
    double split_limit_factor = 4.0;  ///< slices over the described number, above which none split
    double merge_limit_factor = 1.25; ///< slices over the described number, above which cold merge
    double cold_load_factor = 0.25;   ///< of the mean load of a slice; colder slices may merge
    std::size_t max_moves = 64;       ///< moves for load in one plan
};

/// Plans changes of one partition. Pure: only what it is told counts. Two assigners of one
/// partition are harmless, since a plan takes effect by compare-and-swap alone.
class assigner {
public:
    explicit assigner(assigner_settings settings);

    void on_report(const load_report& report, monotonic_time now);

    /// The document with its next changes, version and writer unchanged; empty when nothing is
    /// due or when no server receives work: then every key keeps its owner. Slices that change
    /// owner are marked with moving_to; splits and merges keep owner and fence. Servers that the
    /// description added or removed are added or, when they own nothing, removed.
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

/// The live host with the highest rendezvous weight for an item; empty when there is none.
[[nodiscard]] host_id preferred_host(const std::string& item, const std::vector<host_id>& hosts);

} // namespace figreach
