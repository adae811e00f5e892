#pragma once

#include "http/types.hpp"

#include <boost/optional.hpp>

namespace cicadahub::http
{

/// Body of a request that is being read. Unlike `string_body` it reserves no
/// memory by the announced length: who reads the request does that, as the
/// bytes arrive.
struct request_body
{
    using value_type = std::string;

    static std::uint64_t size(const value_type& it) { return it.size(); }

    class reader
    {
    public:
        template<bool IsRequest, class Fields>
        explicit reader(beast_http::header<IsRequest, Fields>& /*head*/,
                        value_type& body)
            : m_body(body)
        {
        }

        void init(const boost::optional<std::uint64_t>& /*length*/,
                  boost::system::error_code& ec)
        {
            ec = {};
        }

        template<class Buffers>
        std::size_t put(const Buffers& buffers, boost::system::error_code& ec)
        {
            ec = {};
            std::size_t n = 0;
            for (auto it = net::buffer_sequence_begin(buffers);
                 it != net::buffer_sequence_end(buffers); ++it)
            {
                const net::const_buffer part = *it;
                m_body.append(static_cast<const char*>(part.data()),
                              part.size());
                n += part.size();
            }
            return n;
        }

        void finish(boost::system::error_code& ec) { ec = {}; }

    private:
        value_type& m_body;
    };
};

using request_parser = beast_http::request_parser<request_body>;

} // namespace cicadahub::http
