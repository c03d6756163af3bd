#pragma once

#include <string>
#include <vector>

#include "figreach/configuration.h"
#include "figreach/control.h"
#include "figreach/document_codec.h"
#include "operator.pb.h"

namespace figreach {

// Conversions between the core types and the messages of the operator RPC service.

[[nodiscard]] operators::v1::ApplyAnswer to_wire(const change_answer& answer);
[[nodiscard]] operators::v1::HistoryEntry to_wire(const description_record& record);
[[nodiscard]] operators::v1::HostStatus to_wire(const host_state& host);
[[nodiscard]] operators::v1::ServerStatus to_wire(const backend_server& server,
                                                  const routing_snapshot& routing);
/// Returns the route of a key. If it has none, `found` is false and `detail` gives the reason.
[[nodiscard]] operators::v1::ExplainAnswer explain(const routing_snapshot* routing,
                                                   const operators::v1::ExplainRequest& request);

void fill(google::protobuf::RepeatedPtrField<std::string>& out,
          const std::vector<std::string>& lines);
void fill(google::protobuf::RepeatedPtrField<operators::v1::Fault>& out, const fault_list& faults);

} // namespace figreach
