#include "figreach/runtime/read_deadline.h"

#include "../property.h"

using namespace figreach;

namespace {

struct read_row {
    const char* name;
    milliseconds at; ///< relative to the deadline
    std::size_t available;
    bool allowed;
};

// In this order, with one deadline.
const read_row read_rows[] = {
    {"waits before the deadline", milliseconds{-5}, 0, true},
    {"bytes before the deadline", milliseconds{-1}, 10, true},
    {"nothing has arrived by the deadline", milliseconds{0}, 0, false},
    {"bytes that come later", milliseconds{1}, 10, false},
};

} // namespace

TEST_GROUP(read_deadline_test){};

/// Guards against reading on beyond the deadline while bytes are always available.
TEST(read_deadline_test, reads_end_at_the_deadline)
{
    const auto at = monotonic_time::clock::now();
    read_deadline deadline{at};
    for (const auto& row : read_rows) {
        const bool allowed =
            !deadline.has_passed(at + row.at) || deadline.take_arrived(100, row.available) > 0;
        CHECK_EQUAL_TEXT(row.allowed, allowed, row.name);
    }
}

/// Guards against dropping a message that has arrived while the host got no processor time, and
/// against reading on while more arrives.
TEST(read_deadline_test, what_has_arrived_by_then_is_read)
{
    read_deadline deadline{monotonic_time::clock::now()};
    CHECK_EQUAL(100, deadline.take_arrived(100, 250));
    CHECK_EQUAL(100, deadline.take_arrived(100, 900));
    CHECK_EQUAL(50, deadline.take_arrived(100, 900));
    CHECK_EQUAL(0, deadline.take_arrived(100, 900));
}
