#include "figreach/runtime/metrics.h"

#include <charconv>
#include <string_view>
#include <utility>

namespace figreach {

namespace {

std::string to_text(double value)
{
    constexpr std::size_t max_length = 32;
    char out[max_length];
    const auto end = std::to_chars(out, out + max_length, value).ptr;
    return {out, end};
}

class page {
public:
    void head(const std::string& name, std::string_view help, std::string_view type)
    {
        this->text += "# HELP figreach_" + name + " ";
        this->text += help;
        this->text += "\n# TYPE figreach_" + name + " ";
        this->text += type;
        this->text += "\n";
    }

    void value(const std::string& name, const std::string& labels, const std::string& number)
    {
        this->text += "figreach_" + name;
        this->text += labels.empty() ? "" : "{" + labels + "}";
        this->text += " " + number + "\n";
    }

    std::string text;
};

void add_counts(page& out, const request_metrics::totals& totals)
{
    out.head("requests_total", "Requests answered by a backend server, by HTTP status.", "counter");
    for (const auto& [status, count] : totals.answers) {
        out.value("requests_total", to_label("status", std::to_string(status)),
                  std::to_string(count));
    }
    out.head("refusals_total", "Requests refused by this host, by error.", "counter");
    for (const auto& [kind, count] : totals.refusals) {
        out.value("refusals_total", to_label("error", std::string{name_of(kind)}),
                  std::to_string(count));
    }
}

std::string labels_of(const request_metrics::class_key& key)
{
    return to_label("tenant", key.first.value) + "," + to_label("class", key.second.value);
}

void add_histogram(page& out, const std::string& labels, const class_latency& latency)
{
    const std::string name = "request_seconds";
    std::uint64_t below = 0;
    const auto& bounds = latency_bounds();
    for (std::size_t i = 0; i < bounds.size(); ++i) {
        below += static_cast<std::uint64_t>(latency.buckets.at(static_cast<int>(i)));
        out.value(name + "_bucket", labels + "," + to_label("le", to_text(bounds[i])),
                  std::to_string(below));
    }
    out.value(name + "_bucket", labels + "," + to_label("le", "+Inf"),
              std::to_string(latency.count()));
    out.value(name + "_sum", labels, to_text(latency.sum()));
    out.value(name + "_count", labels, std::to_string(latency.count()));
}

void add_latencies(page& out, const request_metrics::totals& totals)
{
    out.head("request_seconds", "Time from arrival to the end of the answer.", "histogram");
    for (const auto& [key, latency] : totals.latencies) {
        add_histogram(out, labels_of(key), latency);
    }
    out.head("request_seconds_most", "Longest time of an answer since the start.", "gauge");
    for (const auto& [key, latency] : totals.latencies) {
        out.value("request_seconds_most", labels_of(key), to_text(latency.max()));
    }
}

void add_values(page& out, const std::vector<metric>& values)
{
    std::string_view last_name;
    for (const auto& one : values) {
        if (one.name != last_name) {
            out.head(one.name, one.help, one.type == metric_type::counter ? "counter" : "gauge");
            last_name = one.name;
        }
        out.value(one.name, one.labels, std::to_string(one.read()));
    }
}

} // namespace

request_metrics& metrics::add_request_thread()
{
    const std::lock_guard lock{this->mutex};
    this->threads.push_back(std::make_unique<request_metrics>());
    return *this->threads.back();
}

void metrics::add(metric one)
{
    const std::lock_guard lock{this->mutex};
    this->values.push_back(std::move(one));
}

std::string metrics::to_text() const
{
    const std::lock_guard lock{this->mutex};
    request_metrics::totals totals;
    for (const auto& one : this->threads) {
        one->add_to(totals);
    }
    page out;
    add_counts(out, totals);
    add_values(out, this->values);
    add_latencies(out, totals);
    return std::move(out.text);
}

std::string to_label(const std::string& name, const std::string& value)
{
    std::string out = name + "=\"";
    for (const char one : value) {
        if (one == '\\' || one == '"') {
            out += '\\';
        }
        if (one == '\n') {
            out += "\\n";
            continue;
        }
        out += one;
    }
    return out + "\"";
}

} // namespace figreach
