#include "figreach/runtime/suspension_clock.h"

#include <ctime>

namespace figreach {

monotonic_time time_with_suspension()
{
    timespec now{};
    clock_gettime(CLOCK_BOOTTIME, &now);
    return monotonic_time{seconds{now.tv_sec} + nanoseconds{now.tv_nsec}};
}

} // namespace figreach
