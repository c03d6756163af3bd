#pragma once

#include <string>
#include <vector>

#include <google/protobuf/message.h>

#include "operator.pb.h"

namespace figreachctl {

namespace wire = figreach::operators::v1;

using table_row = std::vector<std::string>;

/// Prints aligned columns. The first row is the header; it must exist.
void print_table(const std::vector<table_row>& rows);
/// Prints a message as a JSON object on one line, including fields with default values.
void print_json(const google::protobuf::Message& message);

void print(const wire::ApplyAnswer& answer);
void print(const wire::HistoryAnswer& answer);
void print(const wire::DiffAnswer& answer);
void print(const wire::StatusAnswer& answer);
void print(const wire::ExplainAnswer& answer);
void print(const wire::WatchEvent& event);

/// Formats a time as YYYY-MM-DD hh:mm:ss in UTC.
[[nodiscard]] std::string time_text(std::int64_t unix_ms);

} // namespace figreachctl
