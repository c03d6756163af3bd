#pragma once

#include "figreach/assigner.h"
#include "figreach/assignment_draft.h"
#include "figreach/description.h"

namespace figreach {

/// Isolates the hash of each pinned key in its own slice and moves that slice to its server if the
/// server may receive work. Unpins slices whose key is no longer pinned.
void apply_pins(assignment_draft& draft, const service& described);

/// Retargets each slice that is moving to a server that may not receive work.
void redirect_moves(assignment_draft& draft);

/// Moves all slices off servers that may not receive work.
void evacuate(assignment_draft& draft);

/// Moves at most its fair share of the load and hash space to each server without slices.
void fill_new_servers(assignment_draft& draft);

/// Moves slices from overloaded to underloaded servers, at most `churn` of the hash space, and
/// returns the share it moved. Splits slices that are too hot to move.
[[nodiscard]] double balance(assignment_draft& draft, const assigner_settings& settings,
                             double churn, std::size_t described_slices);

/// Merges adjacent cold slices with the same owner and fence while there are too many slices.
void merge_cold_slices(assignment_draft& draft, const assigner_settings& settings,
                       std::size_t described_slices);

/// Removes servers that are no longer described and neither own nor receive a slice.
void drop_removed_servers(assignment_draft& draft, const description& all,
                          const service_id& service);

} // namespace figreach
