#pragma once

#include <boost/asio/io_context.hpp>

namespace figreach {

/// An io_context whose handlers can be destroyed before the objects that they refer to. Coroutines
/// that are suspended when run() returns are destroyed with their handlers, and the destructors of
/// their variables use objects that were constructed after the io_context.
class event_loop : public boost::asio::io_context {
public:
    using boost::asio::io_context::io_context;

    /// Destroys all pending handlers; the loop can't run afterwards. I/O objects may still be
    /// destroyed.
    void destroy_handlers() { this->shutdown(); }
};

} // namespace figreach
