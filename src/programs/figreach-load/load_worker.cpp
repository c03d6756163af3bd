#include "load_worker.h"

#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <boost/json.hpp>

#include "figreach/error_kind.h"
#include "figreach/request_head.h"

namespace figreach::load {

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace json = boost::json;
using response_parser = http::response_parser<http::string_body>;

namespace {

constexpr auto no_throw = asio::as_tuple(asio::use_awaitable);
constexpr milliseconds connect_limit{500};
constexpr milliseconds response_grace{3000}; ///< time to wait for a response beyond the deadline
constexpr milliseconds repeat_delay{50};
constexpr milliseconds ready_interval{100};
constexpr unsigned http_1_1 = 11;

std::string string_field(const json::object& in, const char* key)
{
    const auto* found = in.if_contains(key);
    return found != nullptr && found->is_string() ? std::string{found->get_string()}
                                                  : std::string{};
}

/// Whether a response body belongs to this request. A repeated request may receive the response to
/// the first attempt, so requests with an idempotency key are matched by that key.
bool is_answer_to(const request_record& record, const std::string& body)
{
    boost::system::error_code failed;
    const auto parsed = json::parse(body, failed);
    if (failed || !parsed.is_object()) {
        return false;
    }
    const auto& in = parsed.get_object();
    const bool same_request = record.idempotency_key.empty()
                                  ? string_field(in, "request") == record.id
                                  : string_field(in, "idempotency_key") == record.idempotency_key;
    return same_request && string_field(in, "key") == record.key;
}

request_result classify_response(const request_record& record, const stream_settings& stream,
                                 const http::response<http::string_body>& answer)
{
    const auto outcome = answer[field::outcome];
    if (answer.result() == http::status::ok) {
        const bool whole = answer.body().size() >= stream.answer_bytes;
        if (!whole) {
            return request_result::shortened_answer;
        }
        return is_answer_to(record, answer.body()) ? request_result::answered
                                                   : request_result::foreign_answer;
    }
    return outcome == name_of(run_state::not_run) ? request_result::not_run
                                                  : request_result::unknown;
}

http::request<http::string_body> make_request(const request_record& record,
                                              const stream_settings& stream,
                                              const load_settings& settings, unsigned attempt)
{
    const bool post = !record.idempotency_key.empty();
    http::request<http::string_body> out{post ? http::verb::post : http::verb::get, "/", http_1_1};
    if (stream.answer_bytes > 0) {
        out.target("/?bytes=" + std::to_string(stream.answer_bytes));
    }
    out.set(http::field::host, "figreach");
    out.set(field::service, stream.service);
    out.set(field::key, record.key);
    out.set(field::request_id, record.id);
    out.set(field::deadline, std::to_string(settings.deadline.count()));
    if (!stream.tenant.empty()) {
        out.set(field::tenant, stream.tenant);
    }
    if (!stream.request_class.empty()) {
        out.set(field::request_class, stream.request_class);
    }
    if (post) {
        out.set(field::idempotency_key, record.idempotency_key);
        out.set(field::attempt, std::to_string(attempt));
        out.body().assign(stream.upload_bytes, 'u');
    }
    out.prepare_payload();
    return out;
}

} // namespace

load_worker::load_worker(const load_settings& settings_, std::uint32_t number_)
    : settings{settings_},
      number{number_},
      random{settings_.seed + number_},
      picker{settings_.keys, settings_.zipf_exponent, settings_.hot_set_lifetime}
{
    for (const auto& address : settings_.hosts) {
        this->pools.push_back(
            std::make_unique<client_pool>(this->io, address, settings_.connections));
    }
}

void load_worker::run()
{
    this->started_at = monotonic_time::clock::now();
    this->open_streams = this->settings.streams.size();
    this->is_ready.assign(this->pools.size(), true);
    for (std::size_t host = 0; host < this->settings.admin_addresses.size(); ++host) {
        asio::co_spawn(this->io, this->poll_readiness(host), asio::detached);
    }
    for (std::uint32_t stream = 0; stream < this->settings.streams.size(); ++stream) {
        asio::co_spawn(this->io, this->generate_arrivals(stream), asio::detached);
    }
    this->io.run();
}

const std::vector<request_record>& load_worker::records() const
{
    return this->finished_requests;
}

asio::awaitable<void> load_worker::generate_arrivals(std::uint32_t stream)
{
    const auto rate = this->settings.streams[stream].rate / this->settings.threads;
    const auto most = this->settings.max_requests / this->settings.threads;
    std::exponential_distribution<double> gap{rate};
    auto intended = this->started_at;
    asio::steady_timer timer{this->io};
    for (;;) {
        const std::chrono::duration<double> wait{gap(this->random)};
        intended += std::chrono::duration_cast<nanoseconds>(wait);
        if (intended >= this->started_at + this->settings.duration ||
            this->requests_planned >= most) {
            --this->open_streams;
            co_return;
        }
        if (intended > monotonic_time::clock::now()) {
            timer.expires_at(intended);
            co_await timer.async_wait(no_throw);
        }
        auto planned = this->plan(stream, intended);
        asio::co_spawn(this->io, this->send(std::move(planned)), asio::detached);
    }
}

load_worker::planned_request load_worker::plan(std::uint32_t stream, monotonic_time intended)
{
    const auto& from = this->settings.streams[stream];
    planned_request out;
    out.intended = intended;
    out.host = this->pick_host();
    auto& record = out.record;
    record.stream = stream;
    record.keyed = from.keyed;
    record.id = std::to_string(this->settings.seed) + "-" + std::to_string(this->number) + "-" +
                std::to_string(this->requests_planned++);
    record.key = from.service + "-" +
                 std::to_string(this->picker.pick(this->random, intended - this->started_at));
    if (this->random_fraction() < from.posts) {
        record.idempotency_key = "once-" + record.id;
    }
    return out;
}

/// Polls the host's /ready while requests arrive, as the platform's load balancer does.
asio::awaitable<void> load_worker::poll_readiness(std::size_t host)
{
    asio::steady_timer pause{this->io};
    while (this->open_streams > 0) {
        const bool answered = co_await this->check_readiness(this->settings.admin_addresses[host]);
        this->is_ready[host] = answered;
        pause.expires_after(ready_interval);
        co_await pause.async_wait(no_throw);
    }
}

asio::awaitable<bool> load_worker::check_readiness(const std::string& address)
{
    boost::beast::tcp_stream stream{this->io};
    stream.expires_after(connect_limit);
    const auto endpoint = to_endpoint(address);
    const auto [refused] = co_await stream.async_connect(endpoint, no_throw);
    if (refused) {
        co_return false;
    }
    http::request<http::string_body> request{http::verb::get, "/ready", http_1_1};
    request.set(http::field::host, address);
    const auto [unsent, sent] = co_await http::async_write(stream, request, no_throw);
    boost::beast::flat_buffer buffer;
    http::response<http::string_body> answer;
    const auto [failed, count] = co_await http::async_read(stream, buffer, answer, no_throw);
    co_return !unsent && !failed && answer.result() == http::status::ok;
}

asio::awaitable<void> load_worker::send(planned_request planned)
{
    const bool repeated = !planned.record.idempotency_key.empty() && planned.attempt == 1 &&
                          this->random_fraction() < this->settings.repeat_fraction;
    if (repeated) {
        asio::co_spawn(this->io, this->repeat(planned), asio::detached);
    }
    std::unique_ptr<upstream_connection> connection;
    for (std::size_t tried = 0; !connection && tried < this->pools.size(); ++tried) {
        planned.host = (planned.host + (tried > 0 ? 1 : 0)) % this->pools.size();
        connection = co_await this->pools[planned.host]->take(connect_limit);
    }
    if (connection) {
        const bool keep = co_await this->exchange(planned, *connection);
        if (!keep) {
            connection.reset();
        }
        this->pools[planned.host]->give_back(std::move(connection));
    }
    planned.record.latency = monotonic_time::clock::now() - planned.intended;
    this->finished_requests.push_back(std::move(planned.record));
}

asio::awaitable<void> load_worker::repeat(planned_request planned)
{
    asio::steady_timer pause{this->io, repeat_delay};
    co_await pause.async_wait(no_throw);
    planned.record.id += "-again";
    planned.attempt = 2;
    planned.intended = monotonic_time::clock::now();
    planned.host = this->pick_host();
    co_await this->send(std::move(planned));
}

asio::awaitable<bool> load_worker::exchange(planned_request& planned,
                                            upstream_connection& connection)
{
    const auto& stream = this->settings.streams[planned.record.stream];
    const auto request = make_request(planned.record, stream, this->settings, planned.attempt);
    connection.stream.expires_after(this->settings.deadline + response_grace);
    const auto [unsent, sent] = co_await http::async_write(connection.stream, request, no_throw);
    if (unsent) {
        co_return false;
    }
    response_parser parser;
    parser.body_limit(boost::none);
    const auto [failed, count] =
        co_await http::async_read(connection.stream, connection.buffer, parser, no_throw);
    if (failed) {
        co_return false;
    }
    const auto& answer = parser.get();
    planned.record.status = answer.result_int();
    planned.record.error = std::string{answer[field::error]};
    planned.record.result = classify_response(planned.record, stream, answer);
    co_return answer.keep_alive();
}

std::size_t load_worker::pick_host()
{
    const auto first = this->random() % this->pools.size();
    for (std::size_t i = 0; i < this->pools.size(); ++i) {
        const auto host = (first + i) % this->pools.size();
        if (this->is_ready[host]) {
            return host;
        }
    }
    return first;
}

double load_worker::random_fraction()
{
    return std::uniform_real_distribution<double>{0.0, 1.0}(this->random);
}

} // namespace figreach::load
