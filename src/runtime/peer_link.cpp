#include "figreach/runtime/peer_link.h"

#include <array>
#include <map>
#include <optional>
#include <stdexcept>
#include <string_view>
#include <utility>
#include <vector>

#include <zmq.hpp>

#include "figreach/peer_codec.h"

namespace figreach {

namespace {

constexpr std::size_t outbox_capacity = 4096;
constexpr int queued_messages_per_peer = 64;
constexpr milliseconds receive_wait{20};
constexpr std::int64_t max_message_bytes = 8 * 1024 * 1024;
constexpr std::size_t max_outgoing_sockets = 256;
constexpr std::size_t key_bytes = 32;

/// ZAP handler (ZeroMQ Authentication Protocol) that accepts only clients with the shared key. The
/// listening socket sends its requests to a well-known inproc address.
class peer_authenticator {
public:
    peer_authenticator(zmq::context_t& context, const peer_security& security)
        : requests{context, zmq::socket_type::rep}
    {
        std::array<std::uint8_t, key_bytes> raw{};
        zmq_z85_decode(raw.data(), security.public_key.c_str());
        this->allowed.assign(raw.begin(), raw.end());
        this->requests.set(zmq::sockopt::linger, 0);
        this->requests.bind("inproc://zeromq.zap.01");
    }

    void answer_all()
    {
        std::vector<std::string> frames;
        while (this->receive(frames)) {
            this->answer(frames);
        }
    }

    zmq::socket_t& socket() { return this->requests; }

private:
    bool receive(std::vector<std::string>& frames)
    {
        frames.clear();
        zmq::message_t part;
        while (this->requests.recv(part, zmq::recv_flags::dontwait)) {
            frames.push_back(part.to_string());
            if (!part.more()) {
                return true;
            }
        }
        return false;
    }

    void answer(const std::vector<std::string>& frames)
    {
        constexpr std::size_t id_frame = 1;
        constexpr std::size_t credential_frame = 6;
        const bool known =
            frames.size() > credential_frame && frames[credential_frame] == this->allowed;
        const auto id = frames.size() > id_frame ? frames[id_frame] : std::string{};
        const std::string_view reply[] = {
            "1.0", id, known ? "200" : "400", known ? "OK" : "unknown key", "", ""};
        for (std::size_t i = 0; i < std::size(reply); ++i) {
            const bool last = i + 1 == std::size(reply);
            const auto more = last ? zmq::send_flags::none : zmq::send_flags::sndmore;
            (void)this->requests.send(zmq::buffer(reply[i]), more | zmq::send_flags::dontwait);
        }
    }

    std::string allowed;
    zmq::socket_t requests;
};

} // namespace

/// The sockets of the link. All except `wake_sender` are used only by the link's thread.
class peer_link::sockets {
public:
    sockets(const std::string& listen_address, peer_security security_)
        : security{std::move(security_)}
    {
        if (this->security.encrypted()) {
            this->authenticator.emplace(this->context, this->security);
            this->incoming.set(zmq::sockopt::curve_server, true);
            this->incoming.set(zmq::sockopt::curve_secretkey, this->security.secret_key);
        }
        this->incoming.set(zmq::sockopt::linger, 0);
        this->incoming.set(zmq::sockopt::maxmsgsize, max_message_bytes);
        this->incoming.bind("tcp://" + listen_address);
        this->wake_receiver.bind("inproc://wake");
        this->wake_sender.connect("inproc://wake");
    }

    void wake() { (void)this->wake_sender.send(zmq::message_t{}, zmq::send_flags::dontwait); }

    void wait()
    {
        std::vector<zmq::pollitem_t> items{{this->incoming.handle(), 0, ZMQ_POLLIN, 0},
                                           {this->wake_receiver.handle(), 0, ZMQ_POLLIN, 0}};
        if (this->authenticator) {
            items.push_back({this->authenticator->socket().handle(), 0, ZMQ_POLLIN, 0});
        }
        zmq::poll(items, receive_wait);
        if (this->authenticator) {
            this->authenticator->answer_all();
        }
        zmq::message_t woken;
        while (this->wake_receiver.recv(woken, zmq::recv_flags::dontwait)) {
        }
    }

    std::optional<std::string> receive()
    {
        zmq::message_t message;
        if (!this->incoming.recv(message, zmq::recv_flags::dontwait)) {
            return std::nullopt;
        }
        return message.to_string();
    }

    void send(const std::string& destination, const std::string& bytes)
    {
        auto found = this->outgoing.find(destination);
        if (found == this->outgoing.end()) {
            this->evict_if_full();
            found = this->outgoing.emplace(destination, this->connect(destination)).first;
        }
        (void)found->second.send(zmq::buffer(bytes), zmq::send_flags::dontwait);
    }

private:
    zmq::socket_t connect(const std::string& destination)
    {
        zmq::socket_t fresh{this->context, zmq::socket_type::push};
        fresh.set(zmq::sockopt::linger, 0);
        fresh.set(zmq::sockopt::sndhwm, queued_messages_per_peer);
        if (this->security.encrypted()) {
            fresh.set(zmq::sockopt::curve_serverkey, this->security.public_key);
            fresh.set(zmq::sockopt::curve_publickey, this->security.public_key);
            fresh.set(zmq::sockopt::curve_secretkey, this->security.secret_key);
        }
        fresh.connect("tcp://" + destination);
        return fresh;
    }

    /// Bounds the number of sockets, as replaced hosts leave sockets to their old addresses behind.
    void evict_if_full()
    {
        if (this->outgoing.size() >= max_outgoing_sockets) {
            this->outgoing.erase(this->outgoing.begin());
        }
    }

    peer_security security;
    zmq::context_t context;
    std::optional<peer_authenticator> authenticator;
    zmq::socket_t incoming{context, zmq::socket_type::pull};
    zmq::socket_t wake_receiver{context, zmq::socket_type::pull};
    zmq::socket_t wake_sender{context, zmq::socket_type::push};
    std::map<std::string, zmq::socket_t> outgoing;
};

namespace {

const std::string& checked_address(const peer_security& security, const std::string& address)
{
    const auto defect = defect_of(security, address);
    if (!defect.empty()) {
        throw std::invalid_argument{defect};
    }
    return address;
}

} // namespace

peer_link::peer_link(std::string address_, host_id self_, std::uint64_t incarnation_,
                     ring<control_event>& inbox_, const peer_security& security)
    : address{std::move(address_)},
      self{std::move(self_)},
      incarnation{incarnation_},
      inbox{inbox_},
      outbox{outbox_capacity, [this] { this->link->wake(); }},
      link{std::make_unique<sockets>(checked_address(security, this->address), security)},
      thread{[this] { this->run(); }}
{
}

peer_link::~peer_link()
{
    this->stopping = true;
    this->thread.join();
}

bool peer_link::send(send_to_host message)
{
    return this->outbox.push(std::move(message));
}

std::uint64_t peer_link::malformed() const
{
    return this->malformed_messages.load(std::memory_order_relaxed);
}

std::uint64_t peer_link::dropped() const
{
    return this->outbox.refusals();
}

void peer_link::run()
{
    while (!this->stopping) {
        this->link->wait();
        while (const auto bytes = this->link->receive()) {
            this->receive(*bytes);
        }
        while (auto message = this->outbox.pop()) {
            this->link->send(message->address,
                             encode(peer_message{.sender = this->self,
                                                 .incarnation = this->incarnation,
                                                 .body = std::move(message->body)}));
        }
    }
}

void peer_link::receive(const std::string& bytes)
{
    auto message = decode_peer_message(bytes);
    if (!message) {
        this->malformed_messages.fetch_add(1, std::memory_order_relaxed);
        return;
    }
    this->inbox.push(peer_received{std::move(*message)});
}

} // namespace figreach
