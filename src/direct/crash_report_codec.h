#pragma once

#include <vector>

#include "figreach/direct/crash_report.h"
#include "peer.pb.h"

namespace figreach::direct {

void fill(peer::v1::CrashReport& out, const crash_report& report);

[[nodiscard]] std::vector<crash_report>
to_crash_reports(const google::protobuf::RepeatedPtrField<peer::v1::CrashReport>& in);

} // namespace figreach::direct
