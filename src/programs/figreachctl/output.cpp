#include "output.h"

#include <algorithm>
#include <chrono>
#include <ctime>
#include <iomanip>
#include <iostream>
#include <sstream>

#include <google/protobuf/util/json_util.h>

namespace figreachctl {

namespace {

std::string hex(std::uint64_t number)
{
    constexpr int digits = 16;
    std::ostringstream out;
    out << std::hex << std::setw(digits) << std::setfill('0') << number;
    return out.str();
}

template <class Lines>
void print_lines(const std::string& title, const Lines& lines)
{
    if (lines.empty()) {
        return;
    }
    std::cout << title << ":\n";
    for (const auto& line : lines) {
        std::cout << "  " << line << '\n';
    }
}

template <class Faults>
void print_faults(const Faults& faults)
{
    for (const auto& fault : faults) {
        std::cout << fault.place() << ": found " << fault.found()
                  << "; allowed: " << fault.allowed() << '\n';
    }
}

std::string headline(const wire::ApplyAnswer& answer)
{
    const auto version = std::to_string(answer.version());
    switch (answer.outcome()) {
    case wire::ApplyAnswer::ACCEPTED:
        return "Accepted as version " + version + ".";
    case wire::ApplyAnswer::INVALID:
        return "Invalid; nothing was changed.";
    case wire::ApplyAnswer::CONFLICT:
        return "Conflict: version " + version + " is in force; nothing was changed.";
    case wire::ApplyAnswer::DANGEROUS:
        return "Dangerous; nothing was changed. Repeat with --force to apply it anyway.";
    case wire::ApplyAnswer::NOT_ACCEPTED:
        return "Not accepted; nothing was changed.";
    case wire::ApplyAnswer::CHECKED:
        return "Checked against version " + version + "; nothing was changed.";
    case wire::ApplyAnswer::UNCHANGED:
        return "Unchanged: version " + version + " says so already.";
    default:
        return "Unknown whether the change was accepted; check the history.";
    }
}

template <class Hosts>
void print_hosts(const Hosts& hosts)
{
    std::vector<table_row> rows{{"ENTRY HOST", "FAILURE DOMAIN", "STATE", "VERSION"}};
    for (const auto& host : hosts) {
        rows.push_back({host.host(), host.failure_domain(), host.state(),
                        std::to_string(host.description_version())});
    }
    print_table(rows);
}

} // namespace

void print_table(const std::vector<table_row>& rows)
{
    constexpr std::size_t gap = 2;
    std::vector<std::size_t> widths(rows.front().size(), 0);
    for (const auto& row : rows) {
        for (std::size_t i = 0; i < row.size(); ++i) {
            widths[i] = std::max(widths[i], row[i].size());
        }
    }
    for (const auto& row : rows) {
        std::string line;
        for (std::size_t i = 0; i < row.size(); ++i) {
            line += row[i] + std::string(widths[i] - row[i].size() + gap, ' ');
        }
        line.erase(line.find_last_not_of(' ') + 1);
        std::cout << line << '\n';
    }
}

void print_json(const google::protobuf::Message& message)
{
    google::protobuf::util::JsonPrintOptions options;
    options.always_print_primitive_fields = true;
    options.preserve_proto_field_names = true;
    std::string text;
    const auto status = google::protobuf::util::MessageToJsonString(message, &text, options);
    std::cout << (status.ok() ? text : std::string{"{}"}) << std::endl;
}

void print(const wire::ApplyAnswer& answer)
{
    std::cout << headline(answer) << '\n';
    if (!answer.detail().empty()) {
        std::cout << answer.detail() << '\n';
    }
    print_faults(answer.faults());
    print_lines("Changed meanwhile", answer.changed_meanwhile());
    print_lines("Dangers", answer.dangers());
    print_lines("Changes", answer.changes());
}

void print(const wire::HistoryAnswer& answer)
{
    std::vector<table_row> rows{{"VERSION", "WHEN (UTC)", "BY", "REASON"}};
    for (const auto& entry : answer.entries()) {
        rows.push_back({std::to_string(entry.version()), time_text(entry.changed_at_unix_ms()),
                        entry.changed_by(), entry.reason()});
    }
    print_table(rows);
}

void print(const wire::DiffAnswer& answer)
{
    print_faults(answer.faults());
    for (const auto& line : answer.changes()) {
        std::cout << line << '\n';
    }
    if (answer.faults().empty() && answer.changes().empty()) {
        std::cout << "No difference from version " << answer.version() << ".\n";
    }
}

void print(const wire::StatusAnswer& answer)
{
    print_lines("Recommended actions, most urgent first", answer.advice());
    std::cout << "\nAnswered by " << answer.answered_by()
              << "; version in force there: " << answer.description_version()
              << "; store: " << (answer.store_reachable() ? "reachable" : answer.store_detail())
              << "\n\n";
    print_hosts(answer.hosts());
    std::cout << '\n';
    std::vector<table_row> rows{
        {"BACKEND SERVER", "SERVICE", "FAILURE DOMAIN", "STATE", "SLICES", "COORDINATOR"}};
    for (const auto& server : answer.servers()) {
        rows.push_back({server.backend_server(), server.service(), server.failure_domain(),
                        server.state(), std::to_string(server.slices()), server.coordinator()});
    }
    print_table(rows);
}

void print(const wire::ExplainAnswer& answer)
{
    std::cout << answer.detail() << '\n';
    if (!answer.found()) {
        return;
    }
    print_table({{"OWNER", "FENCE", "COORDINATOR", "PARTITION VERSION", "KEY HASH", "SLICE"},
                 {answer.owner(), std::to_string(answer.fence()), answer.coordinator(),
                  std::to_string(answer.partition_version()), hex(answer.key_hash()),
                  hex(answer.slice_first()) + " to " + hex(answer.slice_last())}});
}

void print(const wire::WatchEvent& event)
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    std::cout << time_text(std::chrono::duration_cast<std::chrono::milliseconds>(now).count())
              << "  version " << event.version() << '\n';
    print_hosts(event.hosts());
    std::cout << std::endl;
}

std::string time_text(std::int64_t unix_ms)
{
    constexpr std::int64_t ms_per_second = 1000;
    const auto since = static_cast<std::time_t>(unix_ms / ms_per_second);
    std::tm parts{};
    gmtime_r(&since, &parts);
    std::ostringstream out;
    out << std::put_time(&parts, "%Y-%m-%d %H:%M:%S");
    return out.str();
}

} // namespace figreachctl
