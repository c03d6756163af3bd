#include "figreach/runtime/peer_link.h"

#include <optional>
#include <utility>

#include <zmq.hpp>

#include "figreach/peer_codec.h"

namespace figreach {

namespace {

constexpr std::size_t outbox_capacity = 4096;
constexpr int queued_messages_per_peer = 64;
constexpr milliseconds receive_wait{20};

} // namespace

/// The sockets of the link; used by its thread only, but for the wake-up pair's sender.
class peer_link::sockets {
public:
    explicit sockets(const std::string& listen_address)
    {
        this->incoming.set(zmq::sockopt::linger, 0);
        this->incoming.bind("tcp://" + listen_address);
        this->wake_receiver.bind("inproc://wake");
        this->wake_sender.connect("inproc://wake");
    }

    void wake() { (void)this->wake_sender.send(zmq::message_t{}, zmq::send_flags::dontwait); }

    void wait()
    {
        zmq::pollitem_t items[] = {{this->incoming.handle(), 0, ZMQ_POLLIN, 0},
                                   {this->wake_receiver.handle(), 0, ZMQ_POLLIN, 0}};
        zmq::poll(items, std::size(items), receive_wait);
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
            zmq::socket_t fresh{this->context, zmq::socket_type::push};
            fresh.set(zmq::sockopt::linger, 0);
            fresh.set(zmq::sockopt::sndhwm, queued_messages_per_peer);
            fresh.connect("tcp://" + destination);
            found = this->outgoing.emplace(destination, std::move(fresh)).first;
        }
        (void)found->second.send(zmq::buffer(bytes), zmq::send_flags::dontwait);
    }

private:
    zmq::context_t context;
    zmq::socket_t incoming{context, zmq::socket_type::pull};
    zmq::socket_t wake_receiver{context, zmq::socket_type::pull};
    zmq::socket_t wake_sender{context, zmq::socket_type::push};
    std::map<std::string, zmq::socket_t> outgoing;
};

peer_link::peer_link(std::string address_, host_id self_, std::uint64_t incarnation_,
                     ring<control_event>& inbox_)
    : address{std::move(address_)},
      self{std::move(self_)},
      incarnation{incarnation_},
      inbox{inbox_},
      outbox{outbox_capacity, [this] { this->link->wake(); }},
      link{std::make_unique<sockets>(this->address)},
      duty{[this] { this->run(); }}
{
}

peer_link::~peer_link()
{
    this->stopping = true;
    this->duty.join();
}

bool peer_link::send(send_to_host message)
{
    return this->outbox.push(std::move(message));
}

std::uint64_t peer_link::malformed() const
{
    return this->malformed_messages.load(std::memory_order_relaxed);
}

void peer_link::run()
{
    while (!this->stopping) {
        this->link->wait();
        while (auto bytes = this->link->receive()) {
            auto message = decode_peer_message(*bytes);
            if (!message) {
                this->malformed_messages.fetch_add(1, std::memory_order_relaxed);
                continue;
            }
            this->inbox.push(peer_received{std::move(*message)});
        }
        while (auto message = this->outbox.pop()) {
            this->link->send(message->address,
                             encode(peer_message{.sender = this->self,
                                                 .incarnation = this->incarnation,
                                                 .body = std::move(message->body)}));
        }
    }
}

} // namespace figreach
