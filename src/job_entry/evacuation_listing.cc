#include "job_entry/evacuation_listing.h"

#include <utility>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace egretrack::job_entry {
namespace {

constexpr unsigned kOk = 200;

}  // namespace

net::http_response EncodeEvacuations(
    std::span<const wire::domain_evacuation> evacuations) {
  boost::json::array list;
  for (const wire::domain_evacuation& evacuation : evacuations) {
    list.push_back(boost::json::object{
        {"domain", evacuation.domain},
        {"version", evacuation.version},
        {"state", evacuation.evacuated ? "evacuated" : "in_service"}});
  }
  const boost::json::object body{{"evacuations", std::move(list)}};
  return {kOk,
          {{"Content-Type", "application/json"}},
          boost::json::serialize(body)};
}

}  // namespace egretrack::job_entry
