#pragma once

#include "figreach/assigner.h"
#include "figreach/assignment_draft.h"
#include "figreach/description.h"

namespace figreach {

/// Isolates the hash of each pinned key in a slice of its own and moves it to its server while
/// that server may receive work. Takes the mark off slices whose key is no longer pinned.
void apply_pins(assignment_draft& draft, const service& described);

/// Gives a new target to each slice that is on the way to a server that may not receive work.
void redirect_moves(assignment_draft& draft);

/// Moves every slice away from the servers that may not receive work.
void evacuate(assignment_draft& draft);

/// Moves its share of the hash space, and no more, to each server that has no slice.
void fill_new_servers(assignment_draft& draft);

/// Moves slices off servers that are too full and onto servers that are too empty, at most
/// `churn` of the hash space; returns what it moved. Splits a slice that is too hot to be moved.
[[nodiscard]] double balance(assignment_draft& draft, const assigner_settings& settings,
                             double churn, std::size_t described_slices);

/// Merges cold neighbours of the same owner and fence while there are too many slices.
void merge_cold_slices(assignment_draft& draft, const assigner_settings& settings,
                       std::size_t described_slices);

/// Removes the servers that are not described any more and own nothing.
void drop_removed_servers(assignment_draft& draft, const description& all,
                          const service_id& service);

} // namespace figreach
