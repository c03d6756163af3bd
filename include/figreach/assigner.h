#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "figreach/description.h"
#include "figreach/partition.h"
#include "figreach/peer_message.h"
#include "figreach/time.h"

namespace figreach {

/// The first assignment of a partition: slices of equal width, spread evenly over the backend
/// servers that receive work. Version 1, fence 1. Empty of slices when no server receives work.
[[nodiscard]] partition first_assignment(const description& all, const partition_id& id,
                                         const std::vector<host_id>& validators,
                                         std::string writer);

struct assigner_settings {
    double most_imbalance = 1.25;       ///< busiest server over mean that is left alone
    milliseconds report_lifetime{5000}; ///< older load reports do not count
    milliseconds churn_window{10000};
    double most_churn = 0.05; ///< share of the hash space moved for load in a window
};

/// Plans changes of one partition. Pure: only what it is told counts. Two assigners of one
/// partition are harmless, since a plan takes effect by compare-and-swap alone.
class assigner {
public:
    explicit assigner(assigner_settings settings);

    void on_report(const load_report& report, monotonic_time now);

    /// The document with its next changes, version and writer unchanged; empty when nothing is
    /// due. Slices that change owner are marked with moving_to; splits and merges keep owner and
    /// fence. Servers that the description added or removed are added or, when they own nothing,
    /// removed.
    [[nodiscard]] std::optional<partition> plan(const partition& present, const description& all,
                                                monotonic_time now);

private:
    assigner_settings settings;
    std::map<backend_server_id, load_report> reports;
};

/// The live host with the highest rendezvous weight for an item; empty when there is none.
[[nodiscard]] host_id preferred_host(const std::string& item, const std::vector<host_id>& hosts);

} // namespace figreach
