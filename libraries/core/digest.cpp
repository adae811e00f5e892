#include "core/digest.hpp"

#include <boost/algorithm/hex.hpp>
#include <openssl/rand.h>
#include <openssl/sha.h>

#include <array>
#include <iterator>
#include <vector>

namespace cicadahub
{

namespace
{

template<class Bytes>
std::string hex_of(const Bytes& bytes)
{
    std::string text;
    boost::algorithm::hex_lower(bytes.begin(), bytes.end(),
                                std::back_inserter(text));
    return text;
}

} // namespace

std::string sha256_hex(std::string_view text)
{
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
    SHA256(reinterpret_cast<const unsigned char*>(text.data()), text.size(),
           digest.data());
    return hex_of(digest);
}

key_hash hash_of_key(std::string_view key)
{
    return key_hash(sha256_hex(key));
}

std::string random_hex(std::size_t bytes)
{
    std::vector<unsigned char> buf(bytes);
    RAND_bytes(buf.data(), static_cast<int>(bytes));
    return hex_of(buf);
}

} // namespace cicadahub
