#include <algorithm>
#include <cctype>

#include "junctionrail/routes.h"

namespace junctionrail {
namespace {

std::string Lower(std::string_view text) {
  std::string lower(text);
  for (char& it : lower) it = static_cast<char>(std::tolower(static_cast<unsigned char>(it)));
  return lower;
}

}  // namespace

ModelCatalog::ModelCatalog(std::initializer_list<ModelSpec> models) {
  for (const auto& it : models) push_back(it);
}

void ModelCatalog::push_back(ModelSpec spec) {
  index_.emplace(spec.name, models_.size());
  models_.push_back(std::move(spec));
}

const ModelSpec* ModelCatalog::Find(std::string_view model) const {
  const auto it = index_.find(std::string(model));
  return it == index_.end() ? nullptr : &models_[it->second];
}

const ServiceSpec* RoutingConfiguration::FindService(std::string_view name) const {
  for (const auto& it : services) {
    if (it.name == name) return &it;
  }
  return nullptr;
}

RouteTable::RouteTable(RoutingConfiguration configuration)
    : configuration_(std::move(configuration)) {
  for (std::size_t n = 0; n < configuration_.routes.size(); ++n) {
    by_host_[Lower(configuration_.routes[n].host)].push_back(n);
  }
  for (auto& [host, routes] : by_host_) {
    std::sort(routes.begin(), routes.end(), [this](std::size_t a, std::size_t b) {
      return configuration_.routes[a].path_prefix.size() >
             configuration_.routes[b].path_prefix.size();
    });
  }
}

const Route* RouteTable::Find(std::string_view host, std::string_view path) const {
  const auto colon = host.rfind(':');
  if (colon != std::string_view::npos) host = host.substr(0, colon);
  const auto it = by_host_.find(Lower(host));
  if (it == by_host_.end()) return nullptr;
  for (const std::size_t n : it->second) {
    const Route& route = configuration_.routes[n];
    if (path.substr(0, route.path_prefix.size()) == route.path_prefix) return &route;
  }
  return nullptr;
}

std::string_view PickService(const Route& route, std::string_view request_id) {
  std::uint64_t total = 0;
  for (const auto& it : route.traffic_split) total += it.weight;
  if (total == 0) return {};
  std::uint64_t point = RendezvousScore(request_id, route.name) % total;
  for (const auto& it : route.traffic_split) {
    if (point < it.weight) return it.service;
    point -= it.weight;
  }
  return route.traffic_split.back().service;
}

}  // namespace junctionrail
