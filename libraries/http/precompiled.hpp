#pragma once

#include <boost/asio.hpp>
#include <boost/beast.hpp>
#include <boost/json.hpp>
#include <glog/logging.h>

#include <chrono>
#include <map>
#include <memory>
#include <string>
#include <vector>
