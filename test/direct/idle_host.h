#pragma once

#include <boost/asio/io_context.hpp>

#include "figreach/direct/runtime/leadership.h"

namespace figreach::direct {

/// A host h1 that neither listens nor runs its event loop.
struct idle_host {
    static direct_settings settings()
    {
        direct_settings out;
        out.name = {"h1"};
        out.store_address = "127.0.0.1:1";
        return out;
    }

    boost::asio::io_context io;
    metrics metrics_page;
    host_context state{io, settings(), metrics_page};
    leadership leader{state};
};

} // namespace figreach::direct
